package upstream

import (
	"net/http"
	"strings"
)

// hopByHop are the hop-by-hop headers.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// idempotencyHeaders are the headers that make net/http treat any request as
// idempotent.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// EndToEnd returns a copy of h without the hop-by-hop headers, including those
// listed in Connection.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// hideIdempotencyHeaders changes the names of idempotencyHeaders to lower case.
// HTTP header names are case-insensitive, but net/http's check for idempotent
// requests does not match the lower-case names.
func hideIdempotencyHeaders(h http.Header) {
	for _, name := range idempotencyHeaders {
		values := h.Values(name)
		if len(values) == 0 {
			continue
		}
		h.Del(name)
		h[strings.ToLower(name)] = values
	}
}

// allowResend lets net/http resend a request if a pooled connection turns out to be
// stale. An empty list is not sent as a header.
func allowResend(h http.Header) { h[idempotencyHeaders[1]] = []string{} }

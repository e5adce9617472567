package upstream

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// replayNames are the headers by which net/http takes any request for
// idempotent.
var replayNames = []string{"Idempotency-Key", "X-Idempotency-Key"}

// EndToEnd returns a copy of h without the headers that concern one connection
// only, including those that Connection names.
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

// hideReplayNames spells the headers of replayNames in lower case, which HTTP
// takes for the same and net/http's test for idempotent requests does not see.
func hideReplayNames(h http.Header) {
	for _, name := range replayNames {
		values := h.Values(name)
		if len(values) == 0 {
			continue
		}
		h.Del(name)
		h[strings.ToLower(name)] = values
	}
}

// allowReplay lets net/http send a request again when a pooled connection
// proves stale. An empty list is not sent as a header.
func allowReplay(h http.Header) { h[replayNames[1]] = []string{} }

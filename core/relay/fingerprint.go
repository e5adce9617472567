package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// callerHeader is the header that identifies the caller.
const callerHeader = "Authorization"

// Fingerprint identifies a message that is sent again with another request ID, at any node: it is the
// same for the same method, host, target, caller and body. It is part of a cryptographic hash, so that no
// caller can make up a message with the fingerprint of another caller's.
func (m *Message) Fingerprint() uint64 { return m.fingerprint(m.Header[callerHeader], nil) }

// Fingerprint identifies a request that is sent again with another request ID. The caller is
// the client account, whose key is not known at every node, or else that of the message. A request
// without a body says in its prompt what it asks for; where there is a body, the prompt describes it.
func (r *Request) Fingerprint() uint64 {
	caller := r.Header[callerHeader]
	if r.Account != nil {
		caller = []string{r.Account.Name}
	}
	if len(r.Body) > 0 {
		return r.fingerprint(caller, nil)
	}
	return r.fingerprint(caller, &r.Prompt)
}

// fingerprint hashes the message and, if it is not nil, the prompt.
func (m *Message) fingerprint(caller []string, prompt *Prompt) uint64 {
	h := sha256.New()
	writeNumber := func(n uint64) {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], n)
		h.Write(b[:]) // writing to a hash never fails
	}
	write := func(field string) {
		writeNumber(uint64(len(field)))
		_, _ = io.WriteString(h, field)
	}
	write(m.Method)
	write(m.Host)
	write(m.RequestTarget)
	for _, value := range caller {
		write(value)
	}
	h.Write(m.Body)
	if prompt != nil {
		write(prompt.Model)
		for _, p := range prompt.Parts {
			writeNumber(p.ID)
		}
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

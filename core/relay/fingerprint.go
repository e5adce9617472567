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
func (m *Message) Fingerprint() uint64 { return m.fingerprint(m.Header[callerHeader]) }

func (m *Message) fingerprint(caller []string) uint64 {
	h := sha256.New()
	write := func(field string) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:]) // writing to a hash never fails
		_, _ = io.WriteString(h, field)
	}
	write(m.Method)
	write(m.Host)
	write(m.RequestTarget)
	for _, value := range caller {
		write(value)
	}
	h.Write(m.Body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

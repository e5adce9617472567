package edge

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// firstBodyBuffer is the size of the buffer with which reading a body begins. A caller
// occupies more memory only as its body arrives.
const firstBodyBuffer = 16 << 10

// errBodiesTooLarge means that the bodies of all requests in flight would exceed
// MaxTotalBodyBytes.
var errBodiesTooLarge = errors.New("request bodies in flight exceed the limit")

// readBody reads the whole body, so that it can be sent more than once and has only
// one framing. It returns the body and the number of bytes that it reserved in
// h.bodyBytes, which the caller releases. A body that has not arrived by the deadline
// is refused, whose caller could not be answered in time anyway.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, int64, *errkind.Error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, 0, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, 0, errkind.New(errkind.BodyTooLarge, "body has %d bytes", r.ContentLength)
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	// Without support for deadlines, errors are ignored and the body has none.
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(deadline)
	received := &connlimit.Body{Reader: reader, Set: h.Receives, Cancel: func() { _ = connection.SetReadDeadline(time.Now()) }}
	if h.Receives != nil {
		reader = received
	}
	body, reserved, err := h.readReserved(reader, r.ContentLength)
	canceled := received.End()
	if err == nil && !canceled {
		// While the request is served, the connection is read to detect that it closes.
		_ = connection.SetReadDeadline(time.Time{})
		return body, reserved, nil
	}
	h.bodyBytes.Add(-reserved)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, 0, errkind.New(errkind.BodyTooLarge, "body is larger than %d bytes", limit)
	case errors.Is(err, errBodiesTooLarge):
		return nil, 0, errkind.New(errkind.Overloaded, "request bodies in flight take %d bytes", h.bodyBytes.Load())
	case canceled:
		return nil, 0, errkind.New(errkind.Overloaded, "the body arrived too slowly while there was no room for others")
	}
	return nil, 0, errkind.New(errkind.BadRequest, "read body: %w", err)
}

// readReserved reads a body of the given length; a negative length means unknown. It
// reserves memory in h.bodyBytes before its buffer grows, and returns the number of bytes
// reserved also with an error.
func (h *Handler) readReserved(r io.Reader, length int64) (body []byte, reserved int64, err error) {
	size := int64(firstBodyBuffer)
	for {
		if length >= 0 {
			size = min(size, length)
		}
		if h.bodyBytes.Add(size-reserved)+h.otherBodyBytes() > h.MaxTotalBodyBytes {
			return nil, size, errBodiesTooLarge
		}
		reserved = size
		body = append(make([]byte, 0, size), body...)
		for int64(len(body)) < size {
			n, err := r.Read(body[len(body):size])
			body = body[:len(body)+n]
			switch {
			case int64(len(body)) == length:
				return body, reserved, nil
			case errors.Is(err, io.EOF) && length < 0:
				return body, reserved, nil
			case errors.Is(err, io.EOF):
				return nil, reserved, io.ErrUnexpectedEOF
			case err != nil:
				return nil, reserved, err
			}
		}
		size *= 2
	}
}

func (h *Handler) otherBodyBytes() int64 {
	if h.OtherBodyBytes == nil {
		return 0
	}
	return h.OtherBodyBytes()
}

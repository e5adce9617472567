// Package answer defines the transfer of an answer: a head, numbered chunks and an
// explicit end. A stream that stops without the end marker is truncated.
package answer

import (
	"errors"
	"io"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// BodyReader is a reader of a request body; nil means that there is no body.
type BodyReader = io.Reader

// Head is the status and headers of an answer, with the place where the request ran.
type Head struct {
	Status int
	Header map[string][]string
	// RanOn and RanIn are the upstream that ran the request and its place.
	RanOn domain.UpstreamID
	RanIn domain.Place
	// ListsVersion is the lists version that the executor used.
	ListsVersion domain.ListsVersion
}

// Stream is an answer that is being received. It must be used by one goroutine only.
type Stream interface {
	// Head returns the head; it is available as soon as the stream is.
	Head() Head
	// Next returns the next chunk; for engines, a chunk consists of complete server-sent
	// events. The slice is valid until the next call. Next returns io.EOF only after the
	// explicit end marker; any other end is an *errkind.Error.
	Next() ([]byte, error)
	// Close releases the stream and cancels the request if it is unfinished.
	Close() error
}

// Writer receives an answer. It must be used by one goroutine only and applies
// backpressure by blocking.
type Writer interface {
	// WriteHead must be called once, before any chunk.
	WriteHead(Head) error
	// WriteChunk sends one chunk and flushes it; it does not retain p.
	WriteChunk(p []byte) error
}

// Copy copies the stream to w. It returns a nil error only if the end marker arrived and
// everything was written. started reports whether the head was written. Errors of package errkind that
// the writer returns for the head are returned unchanged.
func Copy(w Writer, s Stream) (started bool, err error) {
	if err := w.WriteHead(s.Head()); err != nil {
		var refused *errkind.Error
		if errors.As(err, &refused) {
			return false, err
		}
		return false, errkind.New(errkind.Canceled, "write answer head: %w", err)
	}
	for {
		p, err := s.Next()
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return true, err
		}
		if err := w.WriteChunk(p); err != nil {
			return true, errkind.New(errkind.Canceled, "write answer: %w", err)
		}
	}
}

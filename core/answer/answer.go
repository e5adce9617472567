// Package answer defines how an answer travels: a head, numbered chunks and an
// explicit end. A stream that stops without its end is truncated, never whole.
package answer

import (
	"io"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// BodySource reads a request body; nil means "no body".
type BodySource = io.Reader

// Head starts an answer.
type Head struct {
	Status int
	Header map[string][]string
	// RanOn and RanIn tell which upstream ran the request, and where.
	RanOn domain.UpstreamID
	RanIn domain.Place
	// ListsVersion is the version that the executor decided with.
	ListsVersion domain.ListsVersion
}

// Stream is an answer being received. It is used by one goroutine.
type Stream interface {
	// Head returns the head; it is available as soon as the stream is.
	Head() Head
	// Next returns the next chunk, whole server-sent events for engines. The
	// slice is valid until the next call. It returns io.EOF only after the
	// explicit end marker; any other end is an *errkind.Error.
	Next() ([]byte, error)
	// Close releases the stream and cancels the work behind it if unfinished.
	Close() error
}

// Writer is where an answer goes. It is used by one goroutine and applies back
// pressure by blocking.
type Writer interface {
	// WriteHead is called once, before any chunk.
	WriteHead(Head) error
	// WriteChunk sends one chunk and flushes it; p is not kept.
	WriteChunk(p []byte) error
}

// Copy sends the stream to w and returns nil only if the end marker arrived and
// everything was written. started tells whether the head was written.
func Copy(w Writer, s Stream) (started bool, err error) {
	if err := w.WriteHead(s.Head()); err != nil {
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

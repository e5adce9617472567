package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// fixedStream is an answer with one chunk.
type fixedStream struct {
	head answer.Head
	body string
}

func (s *fixedStream) Head() answer.Head { return s.head }
func (s *fixedStream) Close() error      { return nil }
func (s *fixedStream) Next() ([]byte, error) {
	if s.body == "" {
		return nil, io.EOF
	}
	b := []byte(s.body)
	s.body = ""
	return b, nil
}

type recordingWriter struct{ body string }

func (w *recordingWriter) WriteHead(answer.Head) error { return nil }
func (w *recordingWriter) WriteChunk(p []byte) error   { w.body += string(p); return nil }

// TestErrorOnResumptionIsNotWrittenIntoStream: the engine at which a generation is resumed answers with
// an error.
func TestErrorOnResumptionIsNotWrittenIntoStream(t *testing.T) {
	for _, status := range []int{204, 302, 400, 404} {
		var caller recordingWriter
		w := newTrackedWriter(&caller, time.Now(), time.Now)
		if _, err := answer.Copy(w, &fixedStream{answer.Head{Status: 200}, "data: 1\n\n"}); err != nil {
			t.Fatal(err)
		}
		_, err := answer.Copy(w, &fixedStream{answer.Head{Status: status}, "error\n\n"})
		if caller.body != "data: 1\n\n" {
			t.Errorf("status %d: the caller got %q, want the stream as far as it came", status, caller.body)
		}
		if err == nil || errkind.From(err).Kind != errkind.UpstreamFailed {
			t.Errorf("status %d: got error %v, want %s", status, err, errkind.UpstreamFailed)
		}
	}
}

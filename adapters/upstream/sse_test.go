package upstream

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

func readEvents(r *sseReader) (string, error) {
	var got []byte
	for {
		chunk, err := r.next()
		if err != nil {
			return string(got), err
		}
		got = append(got, chunk...)
	}
}

func TestTruncatedAndMalformedEvents(t *testing.T) {
	cases := []struct {
		name, in, want string
		events         uint64
		err            error
	}{
		{"complete", "data: a\n\ndata: [DONE]\n\n", "data: a\n\ndata: [DONE]\n\n", 1, io.EOF},
		{"ends without terminal event", "data: a\n\n", "data: a\n\n", 1, io.ErrUnexpectedEOF},
		{"truncated within an event", "data: a\n\ndata: b\n", "data: a\n\n", 1, io.ErrUnexpectedEOF},
		{"truncated within the terminal event", "data: [DONE]\n", "", 0, io.ErrUnexpectedEOF},
		{"comments are skipped", ": k\n\ndata: a\n\n: k\n\n: k\n\ndata: b\n\ndata: [DONE]\n\n", "data: a\n\ndata: b\n\ndata: [DONE]\n\n", 2, io.EOF},
		{"carriage returns", "data: a\r\n\r\ndata: [DONE]\r\n\r\n", "data: a\r\n\r\ndata: [DONE]\r\n\r\n", 1, io.EOF},
		{"marker inside data", "data: x [DONE]\n\n", "data: x [DONE]\n\n", 1, io.ErrUnexpectedEOF},
		{"several lines", "event: e\ndata: a\ndata: [DONE]\n\ndata: [DONE]\n\n", "event: e\ndata: a\ndata: [DONE]\n\ndata: [DONE]\n\n", 1, io.EOF},
		{"bytes after the terminal event", "data: [DONE]\n\ndata: late\n\n", "data: [DONE]\n\n", 0, io.EOF},
	}
	for _, c := range cases {
		for _, src := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
			r := &sseReader{src: src}
			got, err := readEvents(r)
			if got != c.want || err != c.err || r.events != c.events {
				t.Errorf("%s: got %q, %d events, error %v", c.name, got, r.events, err)
			}
		}
	}
}

// FuzzEvents reads arbitrary bytes: every chunk must end with an event, and the
// stream must be complete only after a terminal event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: a\n\n: c\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: a\r\n\r\n\n\ndata\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := readEvents(&sseReader{src: bytes.NewReader(in)})
		if got != "" && !strings.HasSuffix(got, "\n\n") && !strings.HasSuffix(got, "\n\r\n") {
			t.Errorf("got chunks that end within an event: %q", got)
		}
		if err == io.EOF && !strings.Contains(got, "[DONE]") {
			t.Errorf("got io.EOF without a terminal event: %q", got)
		}
	})
}

func TestOversizedEventIsRejected(t *testing.T) {
	r := &sseReader{src: io.LimitReader(zeroReader{}, 2*maxEventBytes)}
	if _, err := readEvents(r); err == nil || err == io.EOF || err == io.ErrUnexpectedEOF {
		t.Errorf("got error %v, want one for an oversized event", err)
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestEventsWithAnyReadSizes: for reads of any size, the chunks must consist of complete
// events and together contain all events.
func TestEventsWithAnyReadSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := rapid.SliceOf(rapid.SampledFrom([]string{"data: a\n\n", "data: long " + strings.Repeat("x", 3000) + "\n\n", ": c\n\n", "id: 1\ndata: b\r\n\r\n"})).Draw(t, "blocks")
		in := strings.Join(blocks, "") + "data: [DONE]\n\n"
		want := strings.ReplaceAll(in, ": c\n\n", "")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 5000), 1, 20).Draw(t, "sizes")
		r := &sseReader{src: &splitReader{in: []byte(in), sizes: sizes}}
		var got []byte
		for {
			chunk, err := r.next()
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.HasSuffix(chunk, []byte("\n\n")) && !bytes.HasSuffix(chunk, []byte("\n\r\n")) {
				t.Fatalf("chunk ends within an event: %q", chunk)
			}
			got = append(got, chunk...)
		}
		if string(got) != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}

// splitReader returns its bytes in reads of the given sizes, repeated cyclically.
type splitReader struct {
	in       []byte
	sizes    []int
	nextSize int
}

func (s *splitReader) Read(p []byte) (int, error) {
	if len(s.in) == 0 {
		return 0, io.EOF
	}
	n := min(len(p), len(s.in), s.sizes[s.nextSize%len(s.sizes)])
	s.nextSize++
	copy(p, s.in[:n])
	s.in = s.in[n:]
	return n, nil
}

// loopReader repeats an event endlessly.
type loopReader struct {
	event  []byte
	offset int
}

func (l *loopReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		c := copy(p[n:], l.event[l.offset:])
		n += c
		l.offset = (l.offset + c) % len(l.event)
	}
	return n, nil
}

// BenchmarkReadEvents reads events of a typical size; one operation is one event.
func BenchmarkReadEvents(b *testing.B) {
	event := `data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}` + "\n\n"
	r := &sseReader{src: &loopReader{event: []byte(event)}}
	b.ReportAllocs()
	b.SetBytes(int64(len(event)))
	for r.events < uint64(b.N) {
		if _, err := r.next(); err != nil {
			b.Fatal(err)
		}
	}
}

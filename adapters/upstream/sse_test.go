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

func TestEventsCutAndCorrupt(t *testing.T) {
	cases := []struct {
		name, in, want string
		events         uint64
		err            error
	}{
		{"whole", "data: a\n\ndata: [DONE]\n\n", "data: a\n\ndata: [DONE]\n\n", 1, io.EOF},
		{"ends without terminal event", "data: a\n\n", "data: a\n\n", 1, io.ErrUnexpectedEOF},
		{"cut in an event", "data: a\n\ndata: b\n", "data: a\n\n", 1, io.ErrUnexpectedEOF},
		{"cut in the terminal event", "data: [DONE]\n", "", 0, io.ErrUnexpectedEOF},
		{"comments left out", ": k\n\ndata: a\n\n: k\n\n: k\n\ndata: b\n\ndata: [DONE]\n\n", "data: a\n\ndata: b\n\ndata: [DONE]\n\n", 2, io.EOF},
		{"carriage returns", "data: a\r\n\r\ndata: [DONE]\r\n\r\n", "data: a\r\n\r\ndata: [DONE]\r\n\r\n", 1, io.EOF},
		{"marker inside data", "data: x [DONE]\n\n", "data: x [DONE]\n\n", 1, io.ErrUnexpectedEOF},
		{"several lines", "event: e\ndata: a\ndata: [DONE]\n\ndata: [DONE]\n\n", "event: e\ndata: a\ndata: [DONE]\n\ndata: [DONE]\n\n", 1, io.EOF},
		{"bytes after the end", "data: [DONE]\n\ndata: late\n\n", "data: [DONE]\n\n", 0, io.EOF},
	}
	for _, c := range cases {
		for _, src := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
			r := &sseReader{src: src}
			got, err := readEvents(r)
			if got != c.want || err != c.err || r.events != c.events {
				t.Errorf("%s: %q, %d events, error %v", c.name, got, r.events, err)
			}
		}
	}
}

// FuzzEvents reads any bytes: every chunk ends with an event, and the stream
// is whole only behind a terminal event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: a\n\n: c\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: a\r\n\r\n\n\ndata\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := readEvents(&sseReader{src: bytes.NewReader(in)})
		if got != "" && !strings.HasSuffix(got, "\n\n") && !strings.HasSuffix(got, "\n\r\n") {
			t.Errorf("ends within an event: %q", got)
		}
		if err == io.EOF && !strings.Contains(got, "[DONE]") {
			t.Errorf("whole without a terminal event: %q", got)
		}
	})
}

func TestEventTooLarge(t *testing.T) {
	r := &sseReader{src: io.LimitReader(zeros{}, 2*maxEventBytes)}
	if _, err := readEvents(r); err == nil || err == io.EOF || err == io.ErrUnexpectedEOF {
		t.Errorf("error %v", err)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestEventsSplitAnywhere splits the bytes at random places: the chunks hold
// whole events, and together all of them.
func TestEventsSplitAnywhere(t *testing.T) {
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

// splitReader returns its bytes in pieces of the sizes, over and over.
type splitReader struct {
	in    []byte
	sizes []int
	turn  int
}

func (s *splitReader) Read(p []byte) (int, error) {
	if len(s.in) == 0 {
		return 0, io.EOF
	}
	n := min(len(p), len(s.in), s.sizes[s.turn%len(s.sizes)])
	s.turn++
	copy(p, s.in[:n])
	s.in = s.in[n:]
	return n, nil
}

// loopReader repeats an event for ever.
type loopReader struct {
	event []byte
	at    int
}

func (l *loopReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		c := copy(p[n:], l.event[l.at:])
		n += c
		l.at = (l.at + c) % len(l.event)
	}
	return n, nil
}

// BenchmarkReadEvents reads events of a usual size; one operation is one event.
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

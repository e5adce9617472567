package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/telemetry"
)

// blockedOutput blocks all writes until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

func TestWriteDoesNotBlockWhenOutputBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := telemetry.NewWriter(out, 1<<30)
	const lines = 10000
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range lines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked for 10 s")
	}
	if w.Dropped() == 0 {
		t.Error("got no dropped lines, want some while the output blocks")
	}
	close(out.release)
	w.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.String(), "log_lines_dropped count=") {
		t.Error("got no report of the dropped lines in the output")
	}
}

func TestWriterLimitsLinesPerSecond(t *testing.T) {
	var out bytes.Buffer
	w := telemetry.NewWriter(&out, 5)
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close(10 * time.Second)
	// The budgets of two seconds, if a second boundary falls between the writes.
	if n := strings.Count(out.String(), "line\n"); n > 10 {
		t.Errorf("got %d lines written, want at most 10", n)
	}
}

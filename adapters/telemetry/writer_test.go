package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/telemetry"
)

// stuckOutput takes nothing until released.
type stuckOutput struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *stuckOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

func TestLoggingDoesNotBlockOnAReaderThatStops(t *testing.T) {
	out := &stuckOutput{release: make(chan struct{})}
	w := telemetry.NewWriter(out, 1<<30)
	const lines = 10000
	wrote := make(chan struct{})
	go func() {
		defer close(wrote)
		for range lines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-wrote:
	case <-time.After(10 * time.Second):
		t.Fatal("a writer blocked")
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped though the output took none")
	}
	close(out.release)
	w.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.String(), "log_lines_dropped count=") {
		t.Error("the dropped lines are not reported")
	}
}

func TestLogVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	w := telemetry.NewWriter(&out, 5)
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close(10 * time.Second)
	// Two budgets, if a second passed between the writes.
	if n := strings.Count(out.String(), "line\n"); n > 10 {
		t.Errorf("%d lines written, want at most 10", n)
	}
}

package enginesim

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/upstream"
)

// generate runs one request in the calling goroutine and returns its events.
func generate(s *Sim, id, prompt, priority, resume string) string {
	defer func() { _ = recover() }() // an aborted answer
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":10,"messages":[{"role":"user","content":%q}]}`, prompt)
	r := httptest.NewRequest("POST", upstream.PathCompletions, strings.NewReader(body))
	r.Header.Set(upstream.HeaderRequestID, id)
	r.Header.Set(upstream.HeaderPriority, priority)
	r.Header.Set(upstream.HeaderResumeAfter, resume)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w.Body.String()
}

func TestModelOfTime(t *testing.T) {
	prompt := strings.Repeat("x", 4000-len("user\n\n"))
	cases := []struct {
		name   string
		before string // a prompt run first
		want   time.Duration
	}{
		{"cold cache", "other", 2101 * time.Millisecond}, // 1001 tokens at 1000/s, 11 events at 10/s
		{"warm cache", prompt, 1101 * time.Millisecond},  // all but one token are cached
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := Config{Models: []string{"m"}, TimeScale: 1, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 10, BlockBytes: 40}
				s := New(cfg)
				generate(s, "r1", c.before, "", "")
				began := time.Now()
				generate(s, "r2", prompt, "", "")
				if took := time.Since(began); took != c.want {
					t.Errorf("took %v, want %v", took, c.want)
				}
			})
		})
	}
}

func TestPriorityGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Models: []string{"m"}, Slots: 1, TimeScale: 1})
		order := make(chan string, 3)
		for _, r := range []struct{ id, priority string }{{"first", "0"}, {"low", "1"}, {"high", "2"}} {
			go func() {
				generate(s, r.id, "p", r.priority, "")
				order <- r.id
			}()
			synctest.Wait()
		}
		if got := []string{<-order, <-order, <-order}; got[1] != "high" || got[2] != "low" {
			t.Errorf("order %v", got)
		}
	})
}

// TestResumeTakesOver resumes while the first connection is silent but open:
// the only slot has to become free.
func TestResumeTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Models: []string{"m"}, Slots: 1})
		s.SetFaults(faults.Fault{Mode: faults.Silent, AfterEvents: 3, Times: 1})
		first := make(chan string, 1)
		go func() { first <- generate(s, "r", "p", "", "") }()
		synctest.Wait()
		rest := generate(s, "r", "p", "", "3")
		whole := generate(New(Config{Models: []string{"m"}}), "r", "p", "", "")
		if <-first; !strings.HasSuffix(whole, rest) || strings.Count(rest, "data:") != 9 {
			t.Errorf("resumed with %d events", strings.Count(rest, "data:"))
		}
		if x := s.Execution("r"); x.Starts != 2 || x.Resumes != 1 || x.Completed != 1 {
			t.Errorf("execution %+v", x)
		}
	})
}

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

// generate serves one streaming request synchronously and returns the response body.
func generate(s *Sim, id, prompt, priority, resumeAfter string) string {
	defer func() { _ = recover() }() // the handler panics to abort a response
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":10,"messages":[{"role":"user","content":%q}]}`, prompt)
	r := httptest.NewRequest("POST", upstream.PathCompletions, strings.NewReader(body))
	r.Header.Set(upstream.HeaderRequestID, id)
	r.Header.Set(upstream.HeaderPriority, priority)
	r.Header.Set(upstream.HeaderResumeAfter, resumeAfter)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w.Body.String()
}

func TestLatencyMatchesPrefillAndDecodeSpeeds(t *testing.T) {
	prompt := strings.Repeat("x", 4000-len("user\n\n"))
	cases := []struct {
		name         string
		warmupPrompt string // prompt of a request served first
		want         time.Duration
	}{
		{"cold cache", "other", 2101 * time.Millisecond}, // 1001 tokens at 1000/s, 11 events at 10/s
		{"warm cache", prompt, 1101 * time.Millisecond},  // all but one token are cached
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := Config{Models: []string{"m"}, TimeScale: 1, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 10, BlockBytes: 40}
				s := New(cfg)
				generate(s, "r1", c.warmupPrompt, "", "")
				start := time.Now()
				generate(s, "r2", prompt, "", "")
				if elapsed := time.Since(start); elapsed != c.want {
					t.Errorf("request took %v, want %v", elapsed, c.want)
				}
			})
		})
	}
}

func TestHigherPriorityIsScheduledFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Models: []string{"m"}, Slots: 1, TimeScale: 1})
		finishOrder := make(chan string, 3)
		for _, r := range []struct{ id, priority string }{{"first", "0"}, {"low", "1"}, {"high", "2"}} {
			go func() {
				generate(s, r.id, "p", r.priority, "")
				finishOrder <- r.id
			}()
			synctest.Wait()
		}
		if got := []string{<-finishOrder, <-finishOrder, <-finishOrder}; got[1] != "high" || got[2] != "low" {
			t.Errorf("requests finished in order %v, want high before low", got)
		}
	})
}

// TestResumeCancelsPreviousGeneration resumes a request while its first connection
// is still open but unresponsive. The resumed generation can only run if the first
// one releases the engine's only slot.
func TestResumeCancelsPreviousGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Models: []string{"m"}, Slots: 1})
		s.SetFaults(faults.Fault{Mode: faults.Unresponsive, AfterEvents: 3, MaxRequests: 1})
		firstStream := make(chan string, 1)
		go func() { firstStream <- generate(s, "r", "p", "", "") }()
		synctest.Wait()
		resumed := generate(s, "r", "p", "", "3")
		full := generate(New(Config{Models: []string{"m"}}), "r", "p", "", "")
		if <-firstStream; !strings.HasSuffix(full, resumed) || strings.Count(resumed, "data:") != 9 {
			t.Errorf("resumed stream has %d events, want the last 9 events of the full stream", strings.Count(resumed, "data:"))
		}
		if e := s.Execution("r"); e.Starts != 2 || e.Resumes != 1 || e.Completed != 1 {
			t.Errorf("got execution %+v, want 2 starts, 1 resume and 1 completion", e)
		}
	})
}

package benchmarks

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
)

const (
	overloadEngines  = 4
	overloadDuration = 4 * time.Second
	// overloadWarmUp is the time at the start whose requests are not measured.
	overloadWarmUp = time.Second
	shortTokens    = 20
	longTokens     = 400
	longEvery      = 5 // every fifth request is long
	shortDeadline  = 500 * time.Millisecond
	longDeadline   = 2 * time.Second
)

// overloadEngine decodes at a rate at which a short generation occupies a slot for
// 0.05 s and a long one for one second.
var overloadEngine = enginesim.Config{
	Slots: 16, PrefillTokensPerSecond: 50_000, DecodeTokensPerSecond: 400, EventsPerFlush: 20, TimeScale: 1,
	LoadLag: 300 * time.Millisecond,
}

// capacityPerSecond returns the rate of requests that occupies all slots.
func capacityPerSecond() float64 {
	mean := (float64(longEvery-1)*shortTokens + longTokens) / longEvery / overloadEngine.DecodeTokensPerSecond
	return float64(overloadEngines*overloadEngine.Slots) / mean
}

// BenchmarkOverload sends a mix of short and long generations at capacity and at three
// times the capacity, with and without admission control. It counts the requests whose
// first token arrives before the deadline and whose response is complete.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		for _, admissionOff := range []bool{false, true} {
			name := "with"
			if admissionOff {
				name = "without"
			}
			atCapacity := overloadRun(b, admissionOff, 1)
			overloaded := overloadRun(b, admissionOff, 3)
			atCapacity.report(b, name+"-1x")
			overloaded.report(b, name+"-3x")
			b.ReportMetric(float64(overloaded.goodRequests())/float64(atCapacity.goodRequests()), name+"-goodput-ratio")
			b.ReportMetric(float64(overloaded.goodTokens())/float64(atCapacity.goodTokens()), name+"-good-tokens-ratio")
		}
	}
}

// runStats counts the outcomes of the requests of one run. Maps with a bool key hold
// long generations under true and short ones under false.
type runStats struct {
	mu         sync.Mutex
	good       map[bool]int                     // complete, first token before the deadline
	late       int                              // complete, first token after the deadline
	failures   map[string]int                   // by error kind
	firstToken map[bool]*hdrhistogram.Histogram // in microseconds
}

func newRunStats() *runStats {
	return &runStats{failures: make(map[string]int), good: make(map[bool]int), firstToken: map[bool]*hdrhistogram.Histogram{
		false: hdrhistogram.New(1, maxLatency, precision), true: hdrhistogram.New(1, maxLatency, precision),
	}}
}

// goodRequests returns the number of complete requests with the first token in time.
func (s *runStats) goodRequests() int { return s.good[false] + s.good[true] }

// goodTokens returns the number of tokens of good requests.
func (s *runStats) goodTokens() int { return s.good[false]*shortTokens + s.good[true]*longTokens }

func (s *runStats) report(b *testing.B, name string) {
	seconds := (overloadDuration - overloadWarmUp).Seconds()
	b.ReportMetric(float64(s.good[false])/seconds, name+"-short-good/s")
	b.ReportMetric(float64(s.good[true])/seconds, name+"-long-good/s")
	b.ReportMetric(float64(s.late), name+"-late")
	b.ReportMetric(float64(s.firstToken[false].ValueAtQuantile(99))/1000, name+"-short-p99-ms")
	b.ReportMetric(float64(s.firstToken[true].ValueAtQuantile(99))/1000, name+"-long-p99-ms")
	for kind, n := range s.failures {
		b.ReportMetric(float64(n), name+"-"+kind)
	}
}

// overloadRun sends requests at load times the capacity and returns their outcomes.
func overloadRun(b *testing.B, admissionOff bool, load float64) *runStats {
	f := startFleetWith(b, overloadEngines, overloadEngine, func(c *node.Config) { c.Admission.Disabled = admissionOff })
	defer f.Close()
	client := newClient(4096)
	defer client.CloseIdleConnections()
	s := newRunStats()
	rng := rand.New(rand.NewPCG(1, 1))
	rate := capacityPerSecond() * load
	start := time.Now()
	var wg sync.WaitGroup
	for i, at := 0, time.Duration(0); at < overloadDuration; i++ {
		time.Sleep(time.Until(start.Add(at)))
		measured := at > overloadWarmUp
		wg.Go(func() { s.request(client, f.Nodes[0].CallerAddress, i, measured) })
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	}
	wg.Wait()
	return s
}

// request sends one request and records its outcome if measured is set. The request
// states the deadline for the first token, and the caller reads the entire response
// even if the deadline has passed.
func (s *runStats) request(client *http.Client, address string, i int, measured bool) {
	long := i%longEvery == 0
	tokens, deadline := shortTokens, shortDeadline
	if long {
		tokens, deadline = longTokens, longDeadline
	}
	start := time.Now()
	firstToken, errorKind := s.send(client, address, i, tokens, deadline)
	if !measured {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errorKind != "" {
		s.failures[errorKind]++
		return
	}
	wait := firstToken.Sub(start)
	_ = s.firstToken[long].RecordValue(wait.Microseconds())
	if wait <= deadline {
		s.good[long]++
	} else {
		s.late++
	}
}

// send sends one request and returns the arrival time of the first token, or the kind
// of the error.
func (s *runStats) send(client *http.Client, address string, i, tokens int, deadline time.Duration) (firstToken time.Time, errorKind string) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"question %d"}]}`, model, tokens, i)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return firstToken, "client"
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(callerapi.HeaderFirstTokenTimeout, deadline.String())
	resp, err := client.Do(req)
	if err != nil {
		return firstToken, "client"
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return firstToken, resp.Header.Get(callerapi.HeaderErrorKind)
	}
	r := &firstReadTimer{r: resp.Body}
	text, err := io.ReadAll(r)
	if err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		return firstToken, "truncated"
	}
	return r.at, ""
}

// firstReadTimer is a reader that records when it read the first bytes.
type firstReadTimer struct {
	r  io.Reader
	at time.Time
}

// Read implements io.Reader.
func (f *firstReadTimer) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if n > 0 && f.at.IsZero() {
		f.at = time.Now()
	}
	return n, err
}

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
	overloadEngines = 4
	overloadSpan    = 4 * time.Second
	// overloadWarmUp is left out of the figures.
	overloadWarmUp = time.Second
	shortTokens    = 20
	longTokens     = 400
	longEvery      = 5
	shortDeadline  = 500 * time.Millisecond
	longDeadline   = 2 * time.Second
)

// overloadEngine decodes fast, so that a short question takes 0.05 s of a slot and
// a long generation one second.
var overloadEngine = enginesim.Config{
	Slots: 16, PrefillTokensPerSecond: 50_000, DecodeTokensPerSecond: 400, EventsPerFlush: 20, TimeScale: 1,
	LoadLag: 300 * time.Millisecond,
}

// capacityPerSecond is the number of requests a second that fill the slots.
func capacityPerSecond() float64 {
	mean := (float64(longEvery-1)*shortTokens + longTokens) / longEvery / overloadEngine.DecodeTokensPerSecond
	return float64(overloadEngines*overloadEngine.Slots) / mean
}

// BenchmarkOverload sends mixed short and long generations at the capacity and at
// three times that, with admission and without, and counts the requests whose
// first token comes within the deadline and whose answer is whole.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		for _, off := range []bool{false, true} {
			name := "with"
			if off {
				name = "without"
			}
			base := overloadRun(b, off, 1)
			over := overloadRun(b, off, 3)
			base.report(b, name+"-1x")
			over.report(b, name+"-3x")
			b.ReportMetric(float64(over.requests())/float64(base.requests()), name+"-goodput-ratio")
			b.ReportMetric(float64(over.tokens())/float64(base.tokens()), name+"-good-tokens-ratio")
		}
	}
}

// tally counts what became of the requests of one run.
type tally struct {
	mu    sync.Mutex
	good  map[bool]int // by "long"
	late  int
	kinds map[string]int
	first map[bool]*hdrhistogram.Histogram // by "long"
}

func newTally() *tally {
	return &tally{kinds: make(map[string]int), good: make(map[bool]int), first: map[bool]*hdrhistogram.Histogram{
		false: hdrhistogram.New(1, maxLatency, precision), true: hdrhistogram.New(1, maxLatency, precision),
	}}
}

func (t *tally) requests() int { return t.good[false] + t.good[true] }

func (t *tally) tokens() int { return t.good[false]*shortTokens + t.good[true]*longTokens }

func (t *tally) report(b *testing.B, name string) {
	seconds := (overloadSpan - overloadWarmUp).Seconds()
	b.ReportMetric(float64(t.good[false])/seconds, name+"-short-good/s")
	b.ReportMetric(float64(t.good[true])/seconds, name+"-long-good/s")
	b.ReportMetric(float64(t.late), name+"-late")
	b.ReportMetric(float64(t.first[false].ValueAtQuantile(99))/1000, name+"-short-p99-ms")
	b.ReportMetric(float64(t.first[true].ValueAtQuantile(99))/1000, name+"-long-p99-ms")
	for kind, n := range t.kinds {
		b.ReportMetric(float64(n), name+"-"+kind)
	}
}

func overloadRun(b *testing.B, off bool, load float64) *tally {
	f := startFleetWith(b, overloadEngines, overloadEngine, func(c *node.Config) { c.Admission.Off = off })
	defer f.Close()
	client := newClient(4096)
	defer client.CloseIdleConnections()
	t := newTally()
	rnd := rand.New(rand.NewPCG(1, 1))
	rate := capacityPerSecond() * load
	begun := time.Now()
	var wg sync.WaitGroup
	for i, at := 0, time.Duration(0); at < overloadSpan; i++ {
		time.Sleep(time.Until(begun.Add(at)))
		counted := at > overloadWarmUp
		wg.Go(func() { t.ask(client, f.Nodes[0].Caller, i, counted) })
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
	}
	wg.Wait()
	return t
}

// ask sends one request. Its stated time is the deadline of the first token, and the
// caller goes on reading when that has come.
func (t *tally) ask(client *http.Client, address string, i int, counted bool) {
	long := i%longEvery == 0
	tokens, deadline := shortTokens, shortDeadline
	if long {
		tokens, deadline = longTokens, longDeadline
	}
	begun := time.Now()
	first, kind := t.send(client, address, i, tokens, deadline)
	if !counted {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if kind != "" {
		t.kinds[kind]++
		return
	}
	wait := first.Sub(begun)
	_ = t.first[long].RecordValue(wait.Microseconds())
	if wait <= deadline {
		t.good[long]++
	} else {
		t.late++
	}
}

func (t *tally) send(client *http.Client, address string, i, tokens int, deadline time.Duration) (first time.Time, kind string) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"question %d"}]}`, model, tokens, i)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return first, "client"
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(callerapi.HeaderFirstTokenTimeout, deadline.String())
	resp, err := client.Do(req)
	if err != nil {
		return first, "client"
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return first, resp.Header.Get(callerapi.HeaderErrorKind)
	}
	r := &firstRead{r: resp.Body}
	text, err := io.ReadAll(r)
	if err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		return first, "truncated"
	}
	return r.at, ""
}

// firstRead notes when the first bytes came.
type firstRead struct {
	r  io.Reader
	at time.Time
}

// Read implements io.Reader.
func (f *firstRead) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if n > 0 && f.at.IsZero() {
		f.at = time.Now()
	}
	return n, err
}

package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusspread/crocusspread/core/errkind"
)

const (
	maxRecorded = int64(time.Hour / time.Microsecond) // microseconds
	digits      = 3
	perMilli    = 1000.0 // microseconds
)

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Report says how a load went.
type Report struct {
	Requests int `json:"requests"`
	// Whole counts whole answers; Good those of them whose first token was in
	// time.
	Whole int `json:"whole"`
	Good  int `json:"good"`
	// RatePerSecond is the rate of requests that ended.
	RatePerSecond float64              `json:"rate_per_second"`
	FirstToken    Quantiles            `json:"first_token"`
	BetweenTokens Quantiles            `json:"between_tokens"`
	Total         Quantiles            `json:"total"`
	RanIn         map[string]int       `json:"ran_in"`
	Errors        map[errkind.Kind]int `json:"errors"`
}

// collector gathers outcomes under one lock.
type collector struct {
	cfg                     *Config
	mu                      sync.Mutex
	tally                   Report
	firstToken, gaps, total *hdrhistogram.Histogram
}

func newCollector(c *Config) *collector {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, digits) }
	return &collector{
		cfg: c, firstToken: h(), gaps: h(), total: h(),
		tally: Report{RanIn: make(map[string]int), Errors: make(map[errkind.Kind]int)},
	}
}

func (c *collector) add(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Requests++
	if o.kind != "" {
		c.tally.Errors[o.kind]++
		return
	}
	c.tally.Whole++
	c.tally.RanIn[o.ranIn]++
	if o.firstToken <= c.cfg.FirstToken {
		c.tally.Good++
	}
	record(c.firstToken, o.firstToken)
	record(c.total, o.total)
	for _, g := range o.gaps {
		record(c.gaps, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), maxRecorded))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / perMilli }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / perMilli}
}

func (c *collector) report(took time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.tally
	r.RatePerSecond = float64(r.Requests) / took.Seconds()
	r.FirstToken, r.BetweenTokens, r.Total = quantiles(c.firstToken), quantiles(c.gaps), quantiles(c.total)
	return &r
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "requests %d at %.1f/s: %d whole, %d with the first token in time\n", r.Requests, r.RatePerSecond, r.Whole, r.Good)
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}, {"whole answer", r.Total}} {
		fmt.Fprintf(w, "%-15s p50 %8.1f ms  p95 %8.1f ms  p99 %8.1f ms  max %8.1f ms\n", row.name, row.q.P50, row.q.P95, row.q.P99, row.q.Max)
	}
	for _, place := range slices.Sorted(maps.Keys(r.RanIn)) {
		fmt.Fprintf(w, "ran in %-15s %d\n", place, r.RanIn[place])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Errors)) {
		fmt.Fprintf(w, "error %-16s %d\n", kind, r.Errors[kind])
	}
}

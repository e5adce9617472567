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
	maxLatencyMicros           = int64(time.Hour / time.Microsecond) // microseconds
	significantDigits          = 3                                   // of histogram values
	microsecondsPerMillisecond = 1000.0
)

// Quantiles are latency quantiles in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Report is the result of a load run.
type Report struct {
	Requests int `json:"requests"`
	// Completed is the number of complete responses; InTime is the number of these
	// whose first token arrived within Config.FirstTokenTimeout.
	Completed int `json:"whole"`
	InTime    int `json:"good"`
	// RatePerSecond is the number of finished requests per second.
	RatePerSecond float64 `json:"rate_per_second"`
	// FirstToken, BetweenTokens and Total are latencies of complete responses.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	Total         Quantiles `json:"total"`
	// RanIn is the number of complete responses by failure domain.
	RanIn map[string]int `json:"ran_in"`
	// Errors is the number of failed requests by error kind.
	Errors map[errkind.Kind]int `json:"errors"`
}

// collector aggregates outcomes. It is safe for concurrent use.
type collector struct {
	cfg                          *Config
	mu                           sync.Mutex
	totals                       Report
	firstToken, tokenGaps, total *hdrhistogram.Histogram
}

func newCollector(cfg *Config) *collector {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, significantDigits) }
	return &collector{
		cfg: cfg, firstToken: h(), tokenGaps: h(), total: h(),
		totals: Report{RanIn: make(map[string]int), Errors: make(map[errkind.Kind]int)},
	}
}

func (c *collector) add(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Requests++
	if o.kind != "" {
		c.totals.Errors[o.kind]++
		return
	}
	c.totals.Completed++
	c.totals.RanIn[o.ranIn]++
	if o.firstToken <= c.cfg.FirstTokenTimeout {
		c.totals.InTime++
	}
	record(c.firstToken, o.firstToken)
	record(c.total, o.total)
	for _, g := range o.tokenGaps {
		record(c.tokenGaps, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), maxLatencyMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsecondsPerMillisecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsecondsPerMillisecond}
}

func (c *collector) report(elapsed time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.totals
	r.RatePerSecond = float64(r.Requests) / elapsed.Seconds()
	r.FirstToken, r.BetweenTokens, r.Total = quantiles(c.firstToken), quantiles(c.tokenGaps), quantiles(c.total)
	return &r
}

// WriteText writes the report as human-readable text.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "requests %d at %.1f/s: %d complete, %d with the first token in time\n", r.Requests, r.RatePerSecond, r.Completed, r.InTime)
	for _, metric := range []struct {
		name      string
		latencies Quantiles
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}, {"total", r.Total}} {
		fmt.Fprintf(w, "%-15s p50 %8.1f ms  p95 %8.1f ms  p99 %8.1f ms  max %8.1f ms\n", metric.name, metric.latencies.P50, metric.latencies.P95, metric.latencies.P99, metric.latencies.Max)
	}
	for _, failureDomain := range slices.Sorted(maps.Keys(r.RanIn)) {
		fmt.Fprintf(w, "ran in %-15s %d\n", failureDomain, r.RanIn[failureDomain])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Errors)) {
		fmt.Fprintf(w, "error %-16s %d\n", kind, r.Errors[kind])
	}
}

package telemetry

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"sort"

	"github.com/rcrowley/go-metrics"
)

// quantiles lists the quantiles that are reported for histograms.
var quantiles = []float64{0.5, 0.9, 0.99}

// Handler serves the metrics of a registry as text, one "name value" pair on each
// line.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		for _, line := range lines(r) {
			if _, err := fmt.Fprintln(w, line); err != nil {
				return // the client disconnected
			}
		}
	})
}

// lines returns the sorted lines for the metrics of a registry.
func lines(r metrics.Registry) []string {
	var out []string
	add := func(name string, value any) { out = append(out, fmt.Sprintf("%s %v", name, value)) }
	r.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			add(name, m.Count())
		case metrics.Gauge:
			add(name, m.Value())
		case metrics.Histogram:
			h := m.Snapshot()
			add(name+".count", h.Count())
			for i, v := range h.Percentiles(quantiles) {
				add(fmt.Sprintf("%s.p%g", name, quantiles[i]*100), int64(v))
			}
			add(name+".max", h.Max())
		}
	})
	sort.Strings(out)
	return out
}

// DiscardLog returns a logger that discards its output, for servers whose own log
// lines concern single connections only.
func DiscardLog() *log.Logger { return log.New(io.Discard, "", 0) }

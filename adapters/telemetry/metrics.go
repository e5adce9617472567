package telemetry

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
)

const (
	// reservoirSize and reservoirAlpha are the parameters of the exponentially
	// decaying samples of histograms.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Names of the counters of requests forwarded between nodes.
const (
	// ForwardsSent counts requests that this node forwarded to other nodes.
	ForwardsSent = "forwards.sent"
	// ForwardsReceived counts requests that other nodes forwarded to this node.
	ForwardsReceived = "forwards.received"
)

// LogLinesDropped is the gauge of log lines that were not written since the start.
const LogLinesDropped = "log.lines_dropped"

// Metrics records the metrics of a node. It implements gateway.Observer.
type Metrics struct {
	Registry metrics.Registry
	self     domain.Place
}

// NewMetrics returns the metrics of a node located at self.
func NewMetrics(self domain.Place) *Metrics {
	return &Metrics{Registry: metrics.NewRegistry(), self: self}
}

// Count adds n to a counter.
func (m *Metrics) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.Registry).Inc(n)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, m.Registry).Update(v)
}

// ObserveGauge adds a gauge whose value is read when the metrics are served.
func (m *Metrics) ObserveGauge(name string, value func() int64) {
	m.Registry.GetOrRegister(name, func() metrics.Gauge { return metrics.NewFunctionalGauge(value) })
}

// Observe adds a duration to a histogram of microseconds.
func (m *Metrics) Observe(name string, d time.Duration) {
	h := m.Registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// Finished implements gateway.Observer.
func (m *Metrics) Finished(o gateway.Outcome) {
	m.Count("requests.total", 1)
	if o.Forwarded {
		m.Count("requests.forwarded", 1)
	}
	if o.Attempts > 1 {
		m.Count("requests.retried", 1)
	}
	if o.Err != nil {
		m.Count("requests.failed."+string(errkind.From(o.Err).Kind), 1)
		return
	}
	m.Observe("requests.total_us."+o.Target.Kind.String(), o.Total)
	m.Observe("requests.first_chunk_us."+o.Target.Kind.String(), o.TimeToFirstChunk)
	if o.RanIn.Region != m.self.Region {
		m.Count("requests.other_region", 1)
		m.Count(bytesName(o.Customer, m.self.Region, o.RanIn.Region), o.Bytes)
	}
}

// bytesName returns the name of the counter of response bytes transferred between
// two regions for one customer.
func bytesName(customer domain.CustomerID, to, from domain.Region) string {
	return strings.Join([]string{"region_bytes", string(customer), string(from), string(to)}, ".")
}

package admission

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/lists"
)

// BenchmarkAdmit admits requests that need not wait, with limits and without, from
// all processors at once.
func BenchmarkAdmit(b *testing.B) {
	for _, c := range []struct {
		name   string
		limits lists.Limits
	}{{"no limits", lists.Limits{}}, {"limits", lists.Limits{Concurrency: 1 << 20, TokensPerSecond: 1 << 30}}} {
		b.Run(c.name, func(b *testing.B) {
			ctl := New(Config{}, NewShares("n", "d"), &places{slots: 1 << 20, service: time.Millisecond}, discard{}, time.Now)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				req := request(c.limits, 10)
				for pb.Next() {
					g, err := ctl.Admit(b.Context(), req)
					if err != nil {
						b.Error(err)
						return
					}
					g.Done(1)
				}
			})
		})
	}
}

// BenchmarkShares divides the limits of customers among 9 nodes; one operation is
// one update of a node.
func BenchmarkShares(b *testing.B) {
	w := newWorld(3, 3, lists.Limits{Concurrency: 90})
	for _, m := range w.members {
		m.wants = 20
	}
	w.run(settled)
	m := w.members[0]
	fleet := m.fleet()
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(time.Second)
		m.shares.Update(w.now, fleet, []Usage{{Customer: "c", Limits: w.limits, InFlight: 10, Peak: 20}})
	}
}

type discard struct{}

func (discard) Waited(Class, time.Duration) {}
func (discard) Refused(Class, error)        {}

var _ gateway.Admission = (*Controller)(nil)

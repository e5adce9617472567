package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
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

// BenchmarkDemandSpread measures the virtual time until every node knows what each
// other failure domain asks for, for customers that start at some nodes, of different domains, at once.
func BenchmarkDemandSpread(b *testing.B) {
	for _, c := range []struct{ domains, nodes, customers, asking int }{{3, 3, 1, 9}, {3, 3, 20, 9}, {26, 13, 1, 3}, {26, 13, 4, 3}, {26, 13, 1, 338}} {
		b.Run(fmt.Sprintf("domains=%d/nodes=%d/customers=%d/asking=%d", c.domains, c.nodes, c.customers, c.asking), func(b *testing.B) {
			seconds := 0
			for b.Loop() {
				seconds = spread(c.domains, c.nodes, c.customers, c.asking)
			}
			b.ReportMetric(float64(seconds), "spread-s")
		})
	}
}

// maxSpread bounds a measurement, in seconds of virtual time.
const maxSpread = 300

func spread(domains, nodes, customers, asking int) (seconds int) {
	w := newWorld(domains, nodes, lists.Limits{Concurrency: 100})
	w.run(settled)
	asked := make(map[domain.FailureDomain]int)
	for i := range asking {
		m := w.members[i*len(w.members)/asking]
		asked[m.ref.Place.FailureDomain]++
		m.wants = 5
		for i := range customers - 1 {
			m.more = append(m.more, domain.CustomerID(fmt.Sprintf("more-%d", i)))
		}
	}
	for seconds = 0; seconds < maxSpread && !w.knowsAll(asked, customers); seconds++ {
		w.second()
	}
	return seconds
}

// knowsAll tells if every node holds the demands of the other failure domains that
// were asked so many times.
func (w *world) knowsAll(asked map[domain.FailureDomain]int, customers int) bool {
	for _, m := range w.members {
		known, want := 0, len(asked)*customers
		if asked[m.ref.Place.FailureDomain] > 0 {
			want -= customers
		}
		for _, d := range m.group.View().Demands {
			if fd, whole := membership.PartyDomain(d.Node); whole && fd != m.ref.Place.FailureDomain && d.InFlight+d.Waiting >= uint32(asked[fd]) {
				known++
			}
		}
		if known < want {
			return false
		}
	}
	return true
}

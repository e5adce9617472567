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

// BenchmarkAdmit admits requests that don't have to queue, with and without limits, from
// all processors in parallel.
func BenchmarkAdmit(b *testing.B) {
	for _, c := range []struct {
		name   string
		limits lists.Limits
	}{{"no limits", lists.Limits{}}, {"limits", lists.Limits{Concurrency: 1 << 20, TokensPerSecond: 1 << 30}}} {
		b.Run(c.name, func(b *testing.B) {
			ctl := New(Config{}, NewShares("n", "d"), &fakeCapacity{slots: 1 << 20, service: time.Millisecond}, nopObserver{}, time.Now)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				req := request(c.limits, 10)
				for pb.Next() {
					g, err := ctl.Admit(b.Context(), req)
					if err != nil {
						b.Error(err)
						return
					}
					g.Release(1)
				}
			})
		})
	}
}

// BenchmarkShares divides customers' limits among 9 nodes; one operation is one update
// of one node.
func BenchmarkShares(b *testing.B) {
	w := newFleetSim(3, 3, lists.Limits{Concurrency: 90})
	for _, m := range w.members {
		m.demand = 20
	}
	w.run(settleSeconds)
	m := w.members[0]
	fleet := m.fleet()
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(time.Second)
		m.shares.Update(w.now, fleet, []Usage{{Customer: "c", Limits: w.limits, InFlight: 10, PeakDemand: 20}})
	}
}

type nopObserver struct{}

func (nopObserver) Admitted(Class, time.Duration) {}
func (nopObserver) Refused(Class, error)          {}

var _ gateway.Admission = (*Controller)(nil)

// BenchmarkDemandPropagation measures the virtual time until every node has received the
// demand of each other failure domain, for customers that become active at several nodes
// in different domains at the same time.
func BenchmarkDemandPropagation(b *testing.B) {
	for _, c := range []struct{ domains, nodes, customers, active int }{{3, 3, 1, 9}, {3, 3, 20, 9}, {26, 13, 1, 3}, {26, 13, 4, 3}, {26, 13, 1, 338}} {
		b.Run(fmt.Sprintf("domains=%d/nodes=%d/customers=%d/asking=%d", c.domains, c.nodes, c.customers, c.active), func(b *testing.B) {
			seconds := 0
			for b.Loop() {
				seconds = measurePropagation(c.domains, c.nodes, c.customers, c.active)
			}
			b.ReportMetric(float64(seconds), "spread-s")
		})
	}
}

// maxPropagationSeconds limits a measurement, in seconds of virtual time.
const maxPropagationSeconds = 300

func measurePropagation(domains, nodes, customers, active int) (seconds int) {
	w := newFleetSim(domains, nodes, lists.Limits{Concurrency: 100})
	w.run(settleSeconds)
	demandingNodes := make(map[domain.FailureDomain]int)
	for i := range active {
		m := w.members[i*len(w.members)/active]
		demandingNodes[m.ref.Place.FailureDomain]++
		m.demand = 5
		for i := range customers - 1 {
			m.extraCustomers = append(m.extraCustomers, domain.CustomerID(fmt.Sprintf("more-%d", i)))
		}
	}
	for seconds = 0; seconds < maxPropagationSeconds && !w.allReceived(demandingNodes, customers); seconds++ {
		w.advanceSecond()
	}
	return seconds
}

// allReceived reports whether every node holds the demands of the other failure domains,
// where demandingNodes is the number of nodes with demand in each domain.
func (w *fleetSim) allReceived(demandingNodes map[domain.FailureDomain]int, customers int) bool {
	for _, m := range w.members {
		received, want := 0, len(demandingNodes)*customers
		if demandingNodes[m.ref.Place.FailureDomain] > 0 {
			want -= customers
		}
		for _, d := range m.group.View().Demands {
			if fd, isDomain := membership.DemandOriginDomain(d.Node); isDomain && fd != m.ref.Place.FailureDomain && d.InFlight+d.Waiting >= uint32(demandingNodes[fd]) {
				received++
			}
		}
		if received < want {
			return false
		}
	}
	return true
}

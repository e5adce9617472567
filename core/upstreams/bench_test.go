package upstreams_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routing"
	"github.com/crocusspread/crocusspread/core/upstreams"
)

const (
	benchRegions = 11
	benchModels  = 17
	// benchModelsPerEngine is the number of models loaded in each engine.
	benchModelsPerEngine = 4
)

func benchTarget(i int) domain.Target {
	return domain.Target{Kind: domain.TargetModel, Name: fmt.Sprintf("model-name-%02d", i%benchModels)}
}

func benchPlace(i int) domain.Place {
	return domain.Place{
		Region:        domain.Region(fmt.Sprintf("region-%02d", i%benchRegions)),
		FailureDomain: domain.FailureDomain(fmt.Sprintf("region-%02d-fd%02d", i%benchRegions, i)),
	}
}

// benchTracker returns a tracker with local upstreams that have all sent a load
// report.
func benchTracker(b *testing.B, now time.Time, n int) *upstreams.Tracker {
	t := upstreams.New(upstreams.Options{Node: "n", Place: benchPlace(0)})
	var vms []ports.VM
	for i := range n {
		vms = append(vms, ports.VM{
			ID: fmt.Sprintf("engine-%03d", i), Role: ports.RoleEngine, Place: benchPlace(0), Address: fmt.Sprintf("10.0.0.%d:80", i),
		})
	}
	t.ObserveVMs(now, vms)
	for i, vm := range vms {
		report := domain.LoadReport{Upstream: domain.UpstreamID(vm.ID), Slots: 16, Running: i % 16}
		for j := range benchModelsPerEngine {
			report.Models = append(report.Models, benchTarget(i+j).Name)
		}
		if err := t.ObserveReport(now, domain.UpstreamID(vm.ID), report); err != nil {
			b.Fatal(err)
		}
	}
	return t
}

func benchOthers(now time.Time, domains int) *upstreams.Domains {
	d := upstreams.NewDomains(upstreams.Options{Place: benchPlace(0)})
	for i := 1; i < domains; i++ {
		a := upstreams.Aggregate{Place: benchPlace(i)}
		for j := range benchModels {
			a.Targets = append(a.Targets, upstreams.TargetAggregate{Target: benchTarget(j), Upstreams: 5, Slots: 80, Free: 30})
		}
		d.SetReachable(a.Place, true, 100*time.Millisecond)
		d.Observe(now, a, 1, 0)
	}
	return d
}

// BenchmarkSnapshot builds a routing snapshot, which a node does twenty times a
// second.
func BenchmarkSnapshot(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	sizes := []struct{ local, domains int }{{6, 26}, {23, 3}, {23, 26}, {23, 100}, {92, 26}, {230, 26}, {230, 260}}
	for _, s := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d/domains=%d", s.local, s.domains), func(b *testing.B) {
			t, d := benchTracker(b, now, s.local), benchOthers(now, s.domains)
			b.ReportAllocs()
			for b.Loop() {
				builder := routing.NewBuilder(benchPlace(0))
				t.AppendTo(now, builder)
				d.AppendTo(now, builder)
				if _, err := builder.Build(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

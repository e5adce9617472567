package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	benchDomains   = 26
	benchRegions   = 11
	benchUpstreams = 600
	benchModels    = 17
)

func benchTarget(i int) domain.Target {
	return domain.Target{Kind: domain.TargetModel, Name: fmt.Sprintf("model-%02d", i%benchModels)}
}

func benchPlace(i int) domain.Place {
	return domain.Place{Region: domain.Region(fmt.Sprintf("region-%02d", i%benchRegions)), FailureDomain: domain.FailureDomain(fmt.Sprintf("domain-%02d", i))}
}

// benchSnapshot returns a snapshot with the given number of local upstreams, each
// of which serves the given number of models.
func benchSnapshot(tb testing.TB, local, models int) *Snapshot {
	b := NewBuilder(benchPlace(0))
	for i := range local {
		b.AddUpstream(benchUpstream(i, models))
	}
	for i := 1; i < benchDomains; i++ {
		d := Domain{Place: benchPlace(i), Reachable: true, RoundTrip: 110 * time.Millisecond, Link: NewLinkBudget(17.5e6, time.Second)}
		for j := range benchModels {
			d.Targets = append(d.Targets, DomainTarget{Target: benchTarget(j), Upstreams: 2, Slots: 32, Free: 8, Work: new(InFlightWork)})
		}
		b.AddDomain(d)
	}
	s, err := b.Build()
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

func benchUpstream(i, models int) Upstream {
	u := Upstream{
		Ref:     domain.UpstreamRef{ID: domain.UpstreamID(fmt.Sprintf("engine-%03d", i)), Place: benchPlace(0)},
		State:   domain.UpstreamLive,
		Running: i % 20, Slots: 16, QueuedTokens: i * 10,
		Work: new(InFlightWork),
	}
	for j := range models {
		u.Targets = append(u.Targets, benchTarget(i+j))
	}
	return u
}

func BenchmarkRouteDecision(b *testing.B) {
	cases := []struct {
		name          string
		local, models int
	}{
		{"own_share", benchUpstreams / benchDomains, 2},
		{"all_own", benchUpstreams, 2},
		{"all_own_every_model", benchUpstreams, benchModels},
	}
	for _, f := range cases {
		b.Run(f.name, func(b *testing.B) {
			s := benchSnapshot(b, f.local, f.models)
			tuning, err := ProfileLatency.Tuning()
			if err != nil {
				b.Fatal(err)
			}
			r := New(tuning.Policy())
			req := &Request{
				Target:       benchTarget(3),
				Allowed:      s.Regions().Set(func(domain.Region) bool { return true }),
				PromptTokens: 2000, OutputTokens: 300, PrefixHash: 7, PrefixTokens: 1000,
			}
			now := time.Unix(1700000000, 0)
			b.ReportAllocs()
			for b.Loop() {
				req.Seed++
				r.Decide(s, req, now)
			}
		})
	}
}

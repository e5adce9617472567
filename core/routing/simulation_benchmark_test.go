package routing_test

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/routing"
)

// variant is a policy to be benchmarked.
type variant struct {
	name string
	// ownWork and othersWork enable the correction of outdated load reports by the
	// work of this node and of other nodes.
	ownWork, othersWork bool
	policy              func(routing.Profile) routing.Policy
}

func tuned(change func(*routing.Tuning)) func(routing.Profile) routing.Policy {
	return func(p routing.Profile) routing.Policy {
		t, err := p.Tuning()
		if err != nil {
			panic(err)
		}
		change(&t)
		return t.Policy()
	}
}

func variants() []variant {
	unchanged := func(*routing.Tuning) {}
	all := []variant{
		{"full", true, true, tuned(unchanged)},
		{"without_own_work", false, true, tuned(unchanged)},
		{"without_others_work", true, false, tuned(unchanged)},
		{"without_gate", true, true, tuned(func(t *routing.Tuning) { t.GateThreshold = 0 })},
		{"without_near_equals", true, true, tuned(func(t *routing.Tuning) { t.NearWithin = -time.Second })},
		{"without_crowding", true, true, tuned(func(t *routing.Tuning) { t.FreeSlots = 0 })},
		{"without_preferred", true, true, tuned(func(t *routing.Tuning) { t.PreferredSeconds = 0 })},
	}
	for i, b := range routing.Baselines() {
		newBaseline := func(routing.Profile) routing.Policy { return routing.BaselinePolicy(routing.Baselines()[i]) }
		all = append(all, variant{b.Name(), true, true, newBaseline})
	}
	return all
}

func grachtwerk() fleet {
	return fleet{
		name: "grachtwerk", engines: [3]int{10, 6, 2}, slots: [3]int{16, 16, 8}, cost: [3]float64{1, 0.8, 1.6},
		demand: [3]float64{0.55, 0.35, 0.1}, oneWayLatency: 55 * time.Millisecond, linkBytesPerSecond: 140e6 / 8,
		nodesPerDomain: 3, profile: routing.ProfileLatency,
	}
}

func rodopa() fleet {
	return fleet{
		name: "rodopa", engines: [3]int{5, 4, 3}, slots: [3]int{16, 16, 16}, cost: [3]float64{1, 2, 0.8},
		demand: [3]float64{0.45, 0.3, 0.25}, oneWayLatency: 55 * time.Millisecond, linkBytesPerSecond: 2000e6 / 8,
		nodesPerDomain: 3, profile: routing.ProfileCost,
	}
}

// condition is the load on a fleet and the faults that occur.
type condition struct {
	name string
	// load is the ratio of the request rate to the capacity.
	load float64
	// demand overrides the fleet's demand unless it is nil.
	demand *[3]float64
	// outage takes one site down for a part of the simulated time.
	outage bool
	// refuse refuses requests whose predicted first token misses the objective.
	refuse bool
}

func conditions() []condition {
	skewedDemand := [3]float64{0.3, 0.25, 0.45}
	return []condition{
		{name: "steady", load: 0.6},
		{name: "hot_domain", load: 0.6, demand: &skewedDemand},
		{name: "lost_and_returned", load: 0.6, outage: true},
		{name: "overload", load: 3, refuse: true},
	}
}

func simulate(f fleet, c condition, v variant, seed uint64) result {
	sim := newSimulation(f, v, seed)
	sim.refuseLate = c.refuse
	demand := f.demand
	if c.demand != nil {
		demand = *c.demand
	}
	for i := range sim.sites {
		rate := sim.slotRate() * c.load * demand[i]
		sim.scheduleArrivals(i, func() float64 { return rate })
	}
	if c.outage {
		sim.scheduleOutage(sim.sites[outageSite])
	}
	sim.run(simulatedTime)
	return sim.result
}

func (r *result) quantile(q float64) time.Duration {
	if len(r.firstTokens) == 0 {
		return 0
	}
	slices.Sort(r.firstTokens)
	return r.firstTokens[int(q*float64(len(r.firstTokens)-1))]
}

func BenchmarkPolicies(b *testing.B) {
	for _, f := range []fleet{grachtwerk(), rodopa()} {
		for _, c := range conditions() {
			for _, v := range variants() {
				b.Run(f.name+"/"+c.name+"/"+v.name, func(b *testing.B) { benchmarkPolicy(b, f, c, v) })
			}
		}
	}
}

const seeds = 8

func benchmarkPolicy(b *testing.B, f fleet, c condition, v variant) {
	var total result
	for b.Loop() {
		total = result{}
		for seed := range uint64(seeds) {
			total.add(simulate(f, c, v, seed+1))
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(total.quantile(0.5).Milliseconds()), "p50-ms")
	b.ReportMetric(float64(total.quantile(0.99).Milliseconds()), "p99-ms")
	b.ReportMetric(total.cost/1000/float64(max(total.started, 1)), "cost/1k")
	b.ReportMetric(100*float64(total.forwarded)/float64(max(total.started, 1)), "away-%")
	b.ReportMetric(float64(total.onTime)/seeds/(simulatedTime-warmUpTime).Seconds(), "good/s")
	b.ReportMetric(100*float64(total.refused)/float64(max(total.offered, 1)), "refused-%")
}

func (r *result) add(o result) {
	r.firstTokens = append(r.firstTokens, o.firstTokens...)
	r.offered += o.offered
	r.onTime += o.onTime
	r.forwarded += o.forwarded
	r.started += o.started
	r.cost += o.cost
	r.refused += o.refused
	r.dropped += o.dropped
}

package orders

import (
	"fmt"
	"testing"
)

// BenchmarkPlan measures an observation and a plan for a large failure domain in
// which one model is missing and all engines are full.
func BenchmarkPlan(b *testing.B) {
	const domainEngines, models = 24, 17
	cfg := DefaultConfig("n", 1, "d")
	var rows, desired []string
	for i := range models {
		desired = append(desired, fmt.Sprintf("m%02d", i))
	}
	for i := range domainEngines {
		m := func(k int) string { return desired[(i+k)%(models-1)] }
		rows = append(rows, fmt.Sprintf("e%02d %s,%s,%s,%s 5", i, m(0), m(1), m(2), m(3)))
	}
	s := DomainView{Engines: engines(rows...), DesiredModels: desired}
	d := newDemandTracker(cfg)
	d.observe(start, s)
	now := start.Add(longDuration)
	for b.Loop() {
		d.observe(now, s)
		if len(newPlanner(cfg, now, d, s, nil).plan()) != 1 {
			b.Fatal("plan did not return exactly one change for the missing model")
		}
	}
}

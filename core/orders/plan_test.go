package orders

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

var start = time.Unix(1_800_000_000, 0)

// engines parses rows such as "e1 a,b 3": id, models, number of requests; each
// engine has 10 slots. "-" means no models; an optional fourth field is "dead" or
// "unreported".
func engines(rows ...string) []Engine {
	var all []Engine
	for _, row := range rows {
		f := strings.Fields(row)
		e := Engine{Ref: domain.UpstreamRef{ID: domain.UpstreamID(f[0])}, Live: true, Reported: true, Slots: 10}
		if f[1] != "-" {
			e.Models = strings.Split(f[1], ",")
		}
		fmt.Sscan(f[2], &e.Requests)
		if len(f) > 3 {
			e.Live, e.Reported = f[3] != "dead", f[3] != "unreported"
		}
		all = append(all, e)
	}
	return all
}

func testConfig() Config {
	cfg := DefaultConfig("n", 1, "d")
	cfg.MaxModelsPerEngine = 2
	return cfg
}

const longDuration = time.Hour

// planChanges returns the planned changes as "engine: models", after the engines have been
// in the same state for d.
func planChanges(cfg Config, d time.Duration, desired string, rows []Engine, pending ...*change) []string {
	s := DomainView{Engines: rows, DesiredModels: strings.Split(desired, ",")}
	now := start.Add(d)
	demand := newDemandTracker(cfg)
	demand.observe(start, s)
	demand.observe(now, s)
	changes := make(map[domain.UpstreamID]*change)
	for _, c := range pending {
		changes[c.engine.ID] = c
	}
	var out []string
	for _, c := range newPlanner(cfg, now, demand, s, changes).plan() {
		out = append(out, string(c.engine.ID)+": "+strings.Join(c.models, ","))
	}
	return out
}

func TestPlan(t *testing.T) {
	cfg := testConfig()
	for _, c := range []struct {
		name    string
		desired string
		rows    []Engine
		after   time.Duration
		want    []string
	}{
		{"all models loaded", "a,b", engines("e1 a 9.9", "e2 b 0"), 0, nil},
		{"no demand, no unload", "a", engines("e1 a,x 0", "e2 a,y 0"), longDuration, nil},
		{"missing model goes to an engine with room", "a,b", engines("e1 a,x 0", "e2 a 5"), longDuration, []string{"e2: a,b"}},
		{"missing model goes to the least used engine", "a,b", engines("e1 a 5", "e2 a 2", "e3 a 3"), longDuration, []string{"e2: a,b"}},
		{"missing for less than MissingDuration", "a,b", engines("e1 a 0"), cfg.MissingDuration - 1, nil},
		{"an engine has not reported its models", "a,b", engines("e1 a 0", "e2 - 0 unreported"), longDuration, nil},
		{"a model on a dead engine only counts as missing", "a,b", engines("e1 a 0", "e2 b 0 dead"), longDuration, []string{"e1: a,b"}},
		{"an unlisted model is unloaded before a surplus replica", "a,b", engines("e1 a,x 9", "e2 a,a2 0"), longDuration, []string{"e2: a,b"}},
		{"a surplus replica is unloaded", "a,b,c", engines("e1 a,b 2", "e2 a,b 1"), longDuration, []string{"e2: b,c"}},
		{"the last replica is never unloaded", "a,b,c", engines("e1 a,b 0"), longDuration, nil},
		{"a replica on a dead engine does not count", "a,b,c", engines("e1 a,b 0", "e2 a,b 0 dead"), longDuration, nil},
		{"a model stays loaded for MinLoadedTime", "a,b,c", engines("e1 a,b 2", "e2 a,b 1"), cfg.MinLoadedTime - 1, nil},
		{"an engine above the model limit is left unchanged", "a,b", engines("e1 a,x,y 0"), longDuration, nil},
		{"a model in demand keeps its replicas", "a,b,c", engines("e1 a,b 9", "e2 a,b 9"), longDuration, nil},
		{"demand adds a replica", "a,b", engines("e1 a 9", "e2 b 1"), longDuration, []string{"e2: b,a"}},
		{"demand for less than DemandDuration", "a,b", engines("e1 a 9", "e2 b 1"), cfg.DemandDuration - 1, nil},
		{"utilization between the thresholds", "a,b", engines("e1 a 8", "e2 b 4"), longDuration, nil},
		{"demand uses free room first", "a,b,c", engines("e1 a,c 9", "e2 b 0", "e3 b,x2 0"), longDuration, []string{"e2: b,a"}},
		{"demand unloads a model of low utilization", "a,b,c", engines("e1 a 9", "e2 b,c 1", "e3 b,c 2"), longDuration, []string{"e2: c,a"}},
		{"demand does not unload a model in use", "a,b,c", engines("e1 a 9", "e2 b,c 5", "e3 b,c 5"), longDuration, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := planChanges(cfg, c.after, c.desired, c.rows); !slices.Equal(got, c.want) {
				t.Errorf("planned %q, want %q", got, c.want)
			}
		})
	}
}

func TestMaxChangingFractionLimitsConcurrentChanges(t *testing.T) {
	var rows []string
	for i := range 10 {
		rows = append(rows, fmt.Sprintf("e%d a 0", i))
	}
	all := engines(rows...)
	if got := planChanges(testConfig(), longDuration, "a,b,c,d,e", all); !slices.Equal(got, []string{"e0: a,b", "e1: a,c"}) {
		t.Errorf("planned %q, want e0: a,b and e1: a,c", got)
	}
	first := newChange(option{engine: &all[0]}, "b")
	if got := planChanges(testConfig(), longDuration, "a,b,c,d,e", all, first); !slices.Equal(got, []string{"e1: a,c"}) {
		t.Errorf("planned %q with one change pending, want only e1: a,c", got)
	}
}

// TestConcurrentChangesKeepOneReplica has two missing models that compete for the
// same room.
func TestConcurrentChangesKeepOneReplica(t *testing.T) {
	cfg := testConfig()
	cfg.MaxChangingFraction = 1
	got := planChanges(cfg, longDuration, "a,b,c,d", engines("e1 a,b 0", "e2 a,b 0"))
	if !slices.Equal(got, []string{"e1: b,c", "e2: a,d"}) {
		t.Errorf("planned %q, want e1: b,c and e2: a,d", got)
	}
}

// TestIntermittentDemandChangesNothing guards against flapping when utilization is high only
// intermittently.
func TestIntermittentDemandChangesNothing(t *testing.T) {
	cfg, d := testConfig(), newDemandTracker(testConfig())
	s := DomainView{DesiredModels: []string{"a", "b"}}
	for i := range 100 {
		now := start.Add(time.Duration(i) * cfg.DemandDuration / 2)
		s.Engines = engines("e1 a 9", "e2 b 1")
		if i%2 == 1 {
			s.Engines = engines("e1 a 5", "e2 b 1")
		}
		d.observe(now, s)
		if got := newPlanner(cfg, now, d, s, nil).plan(); len(got) > 0 {
			t.Fatalf("planned %v at observation %d, want no change", got[0], i)
		}
	}
}

func TestDesiredModelsDependOnRegion(t *testing.T) {
	d := &lists.Document{Plans: []lists.Plan{
		{Models: []string{"b", "a"}, Regions: []domain.Region{"north", "south"}},
		{Models: []string{"c", "a"}, Regions: []domain.Region{"north", "south"}, Home: "south", HomeOnly: true},
	}}
	if got := DesiredModels(d, "north"); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("DesiredModels for north = %q, want a and b", got)
	}
	if got := DesiredModels(d, "south"); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("DesiredModels for south = %q, want a, b and c", got)
	}
}

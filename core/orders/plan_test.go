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

// engines reads rows such as "e1 a,b 3": id, models, requests of 10 slots. "-"
// stands for no models; a fourth word is "dead" or "unreported".
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

const longEnough = time.Hour

// planned returns the changes as "engine: models", after the engines have been
// in the same state for d.
func planned(cfg Config, d time.Duration, wanted string, rows []Engine, underWay ...*change) []string {
	s := Situation{Engines: rows, Wanted: strings.Split(wanted, ",")}
	now := start.Add(d)
	demand := newDemand(cfg)
	demand.observe(start, s)
	demand.observe(now, s)
	changes := make(map[domain.UpstreamID]*change)
	for _, c := range underWay {
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
		name   string
		wanted string
		rows   []Engine
		after  time.Duration
		want   []string
	}{
		{"all there", "a,b", engines("e1 a 9.9", "e2 b 0"), 0, nil},
		{"no demand, no unload", "a", engines("e1 a,x 0", "e2 a,y 0"), longEnough, nil},
		{"missing goes where there is room", "a,b", engines("e1 a,x 0", "e2 a 5"), longEnough, []string{"e2: a,b"}},
		{"missing goes to the least used", "a,b", engines("e1 a 5", "e2 a 2", "e3 a 3"), longEnough, []string{"e2: a,b"}},
		{"missing for too short a time", "a,b", engines("e1 a 0"), cfg.MissingFor - 1, nil},
		{"an engine has not said what it has", "a,b", engines("e1 a 0", "e2 - 0 unreported"), longEnough, nil},
		{"a dead engine's model is missing", "a,b", engines("e1 a 0", "e2 b 0 dead"), longEnough, []string{"e1: a,b"}},
		{"an unlisted model makes room before a surplus one", "a,b", engines("e1 a,x 9", "e2 a,a2 0"), longEnough, []string{"e2: a,b"}},
		{"a surplus copy makes room", "a,b,c", engines("e1 a,b 2", "e2 a,b 1"), longEnough, []string{"e2: b,c"}},
		{"the last copy is never unloaded", "a,b,c", engines("e1 a,b 0"), longEnough, nil},
		{"a dead engine's copy does not count", "a,b,c", engines("e1 a,b 0", "e2 a,b 0 dead"), longEnough, nil},
		{"a model stays for its dwell time", "a,b,c", engines("e1 a,b 2", "e2 a,b 1"), cfg.MinDwell - 1, nil},
		{"an engine beyond the bound is left", "a,b", engines("e1 a,x,y 0"), longEnough, nil},
		{"a model in demand keeps its copies", "a,b,c", engines("e1 a,b 9", "e2 a,b 9"), longEnough, nil},
		{"demand adds a copy", "a,b", engines("e1 a 9", "e2 b 1"), longEnough, []string{"e2: b,a"}},
		{"demand for too short a time", "a,b", engines("e1 a 9", "e2 b 1"), cfg.DemandFor - 1, nil},
		{"demand between the bounds", "a,b", engines("e1 a 8", "e2 b 4"), longEnough, nil},
		{"demand takes free room first", "a,b,c", engines("e1 a,c 9", "e2 b 0", "e3 b,x2 0"), longEnough, []string{"e2: b,a"}},
		{"demand takes room from a cold model", "a,b,c", engines("e1 a 9", "e2 b,c 1", "e3 b,c 2"), longEnough, []string{"e2: c,a"}},
		{"demand leaves a used model", "a,b,c", engines("e1 a 9", "e2 b,c 5", "e3 b,c 5"), longEnough, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := planned(cfg, c.after, c.wanted, c.rows); !slices.Equal(got, c.want) {
				t.Errorf("planned %q, want %q", got, c.want)
			}
		})
	}
}

func TestFewEnginesChangeAtOnce(t *testing.T) {
	var rows []string
	for i := range 10 {
		rows = append(rows, fmt.Sprintf("e%d a 0", i))
	}
	all := engines(rows...)
	if got := planned(testConfig(), longEnough, "a,b,c,d,e", all); !slices.Equal(got, []string{"e0: a,b", "e1: a,c"}) {
		t.Errorf("planned %q", got)
	}
	first := newChange(option{engine: &all[0]}, "b")
	if got := planned(testConfig(), longEnough, "a,b,c,d,e", all, first); !slices.Equal(got, []string{"e1: a,c"}) {
		t.Errorf("with one under way, planned %q", got)
	}
}

// TestChangesAtOnceLeaveACopy has two models in need of the same room.
func TestChangesAtOnceLeaveACopy(t *testing.T) {
	cfg := testConfig()
	cfg.MaxChangingShare = 1
	got := planned(cfg, longEnough, "a,b,c,d", engines("e1 a,b 0", "e2 a,b 0"))
	if !slices.Equal(got, []string{"e1: b,c", "e2: a,d"}) {
		t.Errorf("planned %q", got)
	}
}

// TestDemandMustLast provokes flapping: use that is high only now and then.
func TestDemandMustLast(t *testing.T) {
	cfg, d := testConfig(), newDemand(testConfig())
	s := Situation{Wanted: []string{"a", "b"}}
	for i := range 100 {
		now := start.Add(time.Duration(i) * cfg.DemandFor / 2)
		s.Engines = engines("e1 a 9", "e2 b 1")
		if i%2 == 1 {
			s.Engines = engines("e1 a 5", "e2 b 1")
		}
		d.observe(now, s)
		if got := newPlanner(cfg, now, d, s, nil).plan(); len(got) > 0 {
			t.Fatalf("planned %v at look %d", got[0], i)
		}
	}
}

func TestWantedFollowsTheRegion(t *testing.T) {
	d := &lists.Document{Plans: []lists.Plan{
		{Models: []string{"b", "a"}, Regions: []domain.Region{"north", "south"}},
		{Models: []string{"c", "a"}, Regions: []domain.Region{"north", "south"}, Home: "south", HomeOnly: true},
	}}
	if got := Wanted(d, "north"); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("north wants %q", got)
	}
	if got := Wanted(d, "south"); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("south wants %q", got)
	}
}

package instances_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
)

// newPathCatalog returns a catalog with n upstreams of one service, at the addresses u0:1, u1:1 and so on.
func newPathCatalog(t *testing.T, o instances.Options, n int) *instances.Catalog {
	t.Helper()
	c := newCatalog(t, o)
	for i := range n {
		in := newInstance(domain.UpstreamID(fmt.Sprint("u", i)))
		in.Address = fmt.Sprintf("u%d:1", i)
		c.Put(start, in)
	}
	return c
}

func TestPathsAreSuspectedUntilAnUpstreamIsReached(t *testing.T) {
	type dial struct {
		address   string
		startedAt int
		opened    bool
	}
	for name, c := range map[string]struct {
		dials []dial
		want  []string // of the addresses to try, the first ones
	}{
		"one upstream not reached":          {[]dial{{"u0:1", 0, false}, {"u0:1", 10, false}}, []string{"u1:1"}},
		"all":                               {[]dial{{"u0:1", 0, false}, {"u1:1", 10, false}}, []string{"u0:1", "u1:1"}},
		"then one reached":                  {[]dial{{"u0:1", 0, false}, {"u1:1", 10, true}}, nil},
		"one reached before":                {[]dial{{"u1:1", 0, true}, {"u0:1", 10, false}}, []string{"u1:1"}},
		"one reached in an earlier attempt": {[]dial{{"u0:1", 10, false}, {"u1:1", 0, true}}, []string{"u1:1"}},
		"upstream of another service":       {[]dial{{"v0:1", 0, false}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			reports := 0
			cat := newPathCatalog(t, instances.Options{PathsSuspected: func() { reports++ }}, 2)
			for _, d := range c.dials {
				cat.RecordDial(d.address, after(d.startedAt), d.opened)
			}
			var got []string
			for _, p := range cat.PathProbes(2) {
				got = p.Addresses[:len(c.want)]
			}
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("the node would try %v first, want %v", got, c.want)
			}
			if len(c.want) > 0 && reports == 0 {
				t.Error("the suspicion was not reported")
			}
		})
	}
}

func TestRefusalsFromBeforePathsReturnedAreNotTold(t *testing.T) {
	r := coldRegion{newPathCatalog(t, instances.Options{}, 3), newPathCatalog(t, instances.Options{}, 3)}
	r[0].RecordDial("u0:1", start, false)
	r.refuse(after(10), 0)
	r[0].SetPathsLost(after(100), "app", true)
	r[0].SetPathsLost(after(5000), "app", false)
	r[0].RecordDial("u1:1", after(5000), true)
	r.propagate(after(5100), 0)
	if got := countCold(r[1], after(5200)); got > 0 {
		t.Errorf("%d upstreams count as cold because another node had lost its paths, want none", got)
	}
}

func TestUpstreamsOutOfReachMayHaveStartedAgain(t *testing.T) {
	c := newPathCatalog(t, instances.Options{}, 4)
	c.SetPathsLost(after(1000), "app", true)
	if due := c.DueHealthChecks(after(3000), false, func(string, domain.UpstreamID) bool { return true }); len(due) > 0 {
		t.Errorf("%d health requests are due on paths that are lost, want none", len(due))
	}
	c.SetPathsLost(after(3000), "app", false)
	if got := countPlaced(c, after(3010), 16); got > 4 {
		t.Errorf("%d requests were placed at once on 4 upstreams that may have started again out of reach, want at most one each", got)
	}
	for _, h := range c.DueHealthChecks(after(4500), false, func(string, domain.UpstreamID) bool { return false }) {
		c.RecordHealth(after(4510), after(4500), h, 0)
	}
	if got := countPlaced(c, after(4600), 16); got != 16 {
		t.Errorf("%d of 16 requests were placed on upstreams that said that they are warm, want all", got)
	}
}

func TestOutageOfUpstreamIsNotAnnouncedAtEachRefusal(t *testing.T) {
	urgent := 0
	c := newPathCatalog(t, instances.Options{StatementsChanged: func() { urgent++ }}, 2)
	for ms := 0; ms < 10000; ms += 50 {
		now := after(ms)
		c.RecordDial("u0:1", now, false)
		c.RecordHealthRefused(now, instances.HealthCheck{Instance: instances.Instance{ID: "u0", Service: "app"}, SentAt: now})
		c.RecordDial("u1:1", now.Add(time.Millisecond), true)
		c.Statements(now.Add(2 * time.Millisecond))
	}
	if urgent < 1 || urgent > 3 {
		t.Errorf("the nodes of the region were told at once %d times that one upstream refuses connections, want 1 to 3", urgent)
	}
}

package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/routes"
)

var (
	here  = domain.Place{Region: "west", FailureDomain: "west-a"}
	start = time.Unix(1_000_000, 0)
)

func catalog(t *testing.T, o instances.Options, ids ...domain.UpstreamID) *instances.Catalog {
	t.Helper()
	o.Self = here
	c := instances.NewCatalog(o)
	table, err := routes.New(1, nil, []routes.Service{{Name: "app", ColdStart: 3 * time.Second, ColdRate: 2}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	c.Configure(table)
	for _, id := range ids {
		c.Put(start, instance(id))
	}
	return c
}

func instance(id domain.UpstreamID) instances.Instance {
	return instances.Instance{ID: id, Service: "app", Address: "x:1", Place: here, Slots: 4}
}

// place returns the instance that a request gets, or "".
func place(c *instances.Catalog, now time.Time) *instances.Ticket {
	q := instances.Query{Request: placement.Request{Objective: time.Second, Left: 5 * time.Second}, LocalAllowed: true}
	_, t := c.Pool("app").Place(now, placement.DefaultPolicy(), &q)
	return t
}

func usable(c *instances.Catalog, now time.Time, id domain.UpstreamID) bool {
	for range 8 {
		t := place(c, now)
		if t == nil {
			return false
		}
		found := t.ID == id
		defer t.Done(now, instances.Abandoned) // keeps the place taken, so that others follow
		if found {
			return true
		}
	}
	return false
}

func TestLeavingAndEvacuatedInstancesGetNothing(t *testing.T) {
	c := catalog(t, instances.Options{}, "a", "b")
	leaving := instance("a")
	leaving.Leaving = true
	c.Put(start, leaving)
	if usable(c, start, "a") {
		t.Error("a leaving instance got a request")
	}
	c.SetEvacuated(start, map[domain.FailureDomain]bool{"west-a": true})
	if place(c, start) != nil {
		t.Error("an instance of an evacuated failure domain got a request")
	}
}

// TestInstancesAreColdAfterAnEvacuation: they may have been restarted meanwhile.
func TestInstancesAreColdAfterAnEvacuation(t *testing.T) {
	c := catalog(t, instances.Options{}, "a")
	c.SetEvacuated(start, map[domain.FailureDomain]bool{"west-a": true})
	c.SetEvacuated(start, nil)
	sent := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		if ticket := place(c, start.Add(at)); ticket != nil {
			sent++
			ticket.Done(start.Add(at), instances.Answered)
		}
	}
	if sent == 0 || sent > 3 {
		t.Errorf("%d requests in the first second, want 1 to 3", sent)
	}
}

func TestOtherRegionsInstancesAreNotUsed(t *testing.T) {
	c := catalog(t, instances.Options{})
	far := instance("far")
	far.Place.Region = "east"
	c.Put(start, far)
	if place(c, start) != nil {
		t.Error("an instance of another region got a request")
	}
}

// TestMisdirectedInstanceIsLeftOut: until its entry goes, each request to it
// would cost a send for nothing.
func TestMisdirectedInstanceIsLeftOut(t *testing.T) {
	c := catalog(t, instances.Options{}, "a", "b")
	for range 2 {
		ticket := place(c, start)
		ticket.Done(start, instances.Misdirected)
	}
	if place(c, start) != nil {
		t.Error("an instance whose address another one has got a request")
	}
	fresh := instance("a")
	fresh.Started = 5
	c.Put(start, fresh)
	if !usable(c, start, "a") {
		t.Error("a new run of the instance gets nothing")
	}
}

func TestEntriesLostInAnOutageAreKept(t *testing.T) {
	const doubt = 2500 * time.Millisecond
	c := catalog(t, instances.Options{Doubt: doubt}, "a", "b")
	c.StoreLost()
	c.Remove(start, "a")
	if !usable(c, start, "a") {
		t.Error("an entry that lapsed while the store was away is gone at once")
	}
	back := start.Add(10 * time.Second)
	c.StoreBack(back)
	c.Replace(back, []instances.Instance{instance("b")})
	c.Sweep(back.Add(doubt - time.Millisecond))
	if !usable(c, back, "a") {
		t.Error("the entry went before the upstream could register again")
	}
	c.Sweep(back.Add(doubt))
	if usable(c, back.Add(doubt), "a") {
		t.Error("the entry is kept for ever")
	}
}

func TestEntriesThatComeBackAreKept(t *testing.T) {
	c := catalog(t, instances.Options{}, "a")
	c.StoreLost()
	c.Remove(start, "a")
	c.StoreBack(start)
	c.Put(start.Add(time.Second), instance("a"))
	c.Sweep(start.Add(time.Minute))
	if !usable(c, start.Add(time.Minute), "a") {
		t.Error("an upstream that registered again was dropped")
	}
}

func TestEntriesRemovedInCalmTimesGoAtOnce(t *testing.T) {
	c := catalog(t, instances.Options{}, "a", "b")
	c.Remove(start.Add(time.Hour), "a")
	if usable(c, start.Add(time.Hour), "a") {
		t.Error("a removed entry still gets requests")
	}
}

// TestFailingInstanceIsLeftOutButNotAll: with most failing, all are used.
func TestFailingInstanceIsLeftOutButNotAll(t *testing.T) {
	c := catalog(t, instances.Options{}, "a", "b", "c", "d")
	now, sent := start, 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		ticket := place(c, now)
		outcome := instances.Answered
		if ticket.ID == "a" {
			outcome = instances.Broken
			sent++
		}
		ticket.FirstByte(now, instances.Reading{}, true)
		ticket.Done(now, outcome)
	}
	if sent > 50 {
		t.Errorf("an instance that always fails got %d of 1000 requests", sent)
	}
	for range 200 {
		now = now.Add(time.Millisecond)
		ticket := place(c, now)
		if ticket == nil {
			t.Fatal("no instance is used any more")
		}
		ticket.Done(now, instances.Broken)
	}
}

// TestConnectionsToAnUpstreamAreBounded: an upstream resets connections beyond its
// bound, and it is not known then if an at-most-once request ran.
func TestConnectionsToAnUpstreamAreBounded(t *testing.T) {
	c := instances.NewCatalog(instances.Options{Self: here, ConnectionShare: func(all int) int { return all / 3 }})
	table, err := routes.New(1, nil, []routes.Service{{Name: "app", MaxConnections: 9}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	c.Configure(table)
	c.Put(start, instance("u1"))
	var taken []*instances.Ticket
	for range 9 {
		if ticket := place(c, start); ticket != nil {
			taken = append(taken, ticket)
		}
	}
	if len(taken) != 3 {
		t.Fatalf("%d connections used, want a third of 9", len(taken))
	}
	taken[0].Done(start, instances.Answered)
	if place(c, start) == nil {
		t.Error("a connection that is free again is not used")
	}
}

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
	localPlace = domain.Place{Region: "west", FailureDomain: "west-a"}
	start      = time.Unix(1_000_000, 0)
)

func newCatalog(t *testing.T, o instances.Options, ids ...domain.UpstreamID) *instances.Catalog {
	t.Helper()
	o.Self = localPlace
	c := instances.NewCatalog(o)
	table, err := routes.New(1, nil, []routes.Service{{Name: "app", HealthPath: "/healthz", ColdStart: 3 * time.Second, MaxColdRate: 2}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	c.Configure(table)
	for _, id := range ids {
		c.Put(start, newInstance(id))
	}
	return c
}

func newInstance(id domain.UpstreamID) instances.Instance {
	return instances.Instance{ID: id, Service: "app", Address: "x:1", Place: localPlace, Slots: 4}
}

// placeRequest places a request and returns its ticket; nil if no instance accepts
// it.
func placeRequest(c *instances.Catalog, now time.Time) *instances.Ticket {
	_, t := place(c, now)
	return t
}

// refusal returns the decision on a request that no instance accepts.
func refusal(c *instances.Catalog, now time.Time) placement.Decision {
	d, _ := place(c, now)
	return d
}

func place(c *instances.Catalog, now time.Time) (placement.Decision, *instances.Ticket) {
	q := instances.Query{Request: placement.Request{Objective: time.Second, Remaining: 5 * time.Second}, LocalAllowed: true}
	return c.Pool("app").Place(now, placement.DefaultPolicy(), &q)
}

// receivesRequest reports whether one of eight concurrent requests is placed on the
// instance with the given ID.
func receivesRequest(c *instances.Catalog, now time.Time, id domain.UpstreamID) bool {
	for range 8 {
		t := placeRequest(c, now)
		if t == nil {
			return false
		}
		matches := t.ID == id
		defer t.Done(now, instances.Canceled) // deferred, so that the next request is placed elsewhere
		if matches {
			return true
		}
	}
	return false
}

func TestLeavingAndEvacuatedInstancesReceiveNoRequests(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a", "b")
	leaving := newInstance("a")
	leaving.Leaving = true
	c.Put(start, leaving)
	if receivesRequest(c, start, "a") {
		t.Error("a leaving instance received a request")
	}
	c.SetEvacuated(start, map[domain.FailureDomain]bool{"west-a": true})
	if placeRequest(c, start) != nil {
		t.Error("an instance of an evacuated failure domain received a request")
	}
}

// Instances may have been restarted while their failure domain was evacuated.
func TestInstancesAreColdAfterEvacuation(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	c.SetEvacuated(start, map[domain.FailureDomain]bool{"west-a": true})
	c.SetEvacuated(start, nil)
	sent := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		if ticket := placeRequest(c, start.Add(at)); ticket != nil {
			sent++
			ticket.Done(start.Add(at), instances.Answered)
		}
	}
	if sent == 0 || sent > 3 {
		t.Errorf("got %d requests in the first second, want 1 to 3", sent)
	}
}

func TestInstancesOfOtherRegionsReceiveNoRequests(t *testing.T) {
	c := newCatalog(t, instances.Options{})
	remote := newInstance("far")
	remote.Place.Region = "east"
	c.Put(start, remote)
	if placeRequest(c, start) != nil {
		t.Error("an instance of another region received a request")
	}
}

// Until the entry of an instance whose address was reused is removed, each request
// to it would reach another instance and fail.
func TestMisdirectedInstanceIsExcluded(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a", "b")
	for range 2 {
		ticket := placeRequest(c, start)
		ticket.Done(start, instances.Misdirected)
	}
	if placeRequest(c, start) != nil {
		t.Error("an instance whose address is used by another one received a request")
	}
	restarted := newInstance("a")
	restarted.Started = 5
	c.Put(start, restarted)
	if !receivesRequest(c, start, "a") {
		t.Error("the instance receives no requests after its restart")
	}
}

func TestInstancesMissingAfterStoreOutageAreRemovedAfterGracePeriod(t *testing.T) {
	const grace = 2500 * time.Millisecond
	c := newCatalog(t, instances.Options{MissingGrace: grace}, "a", "b")
	c.MarkStoreUnavailable()
	c.Remove(start, "a")
	if !receivesRequest(c, start, "a") {
		t.Error("an instance whose entry expired during the store outage was removed immediately")
	}
	restoredAt := start.Add(10 * time.Second)
	c.MarkStoreAvailable(restoredAt)
	c.Replace(restoredAt, []instances.Instance{newInstance("b")})
	c.RemoveExpired(restoredAt.Add(grace - time.Millisecond))
	if !receivesRequest(c, restoredAt, "a") {
		t.Error("the instance was removed before its upstream could register again")
	}
	c.RemoveExpired(restoredAt.Add(grace))
	if receivesRequest(c, restoredAt.Add(grace), "a") {
		t.Error("the instance was not removed after the grace period")
	}
}

func TestInstanceRegisteredAgainAfterOutageIsKept(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	c.MarkStoreUnavailable()
	c.Remove(start, "a")
	c.MarkStoreAvailable(start)
	c.Put(start.Add(time.Second), newInstance("a"))
	c.RemoveExpired(start.Add(time.Minute))
	if !receivesRequest(c, start.Add(time.Minute), "a") {
		t.Error("an instance that registered again was removed")
	}
}

func TestEntryRemovedWithoutOutageTakesEffectImmediately(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a", "b")
	c.Remove(start.Add(time.Hour), "a")
	if receivesRequest(c, start.Add(time.Hour), "a") {
		t.Error("an instance whose entry was removed still receives requests")
	}
}

// A failing instance is excluded, but if most instances fail, all are used.
func TestFailingInstanceIsExcludedUnlessMostFail(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a", "b", "c", "d")
	now, sent := start, 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		ticket := placeRequest(c, now)
		outcome := instances.Answered
		if ticket.ID == "a" {
			outcome = instances.Broken
			sent++
		}
		ticket.FirstByte(now, instances.ReportedLoad{}, true)
		ticket.Done(now, outcome)
	}
	if sent > 50 {
		t.Errorf("the failing instance received %d of 1000 requests, want at most 50", sent)
	}
	for range 200 {
		now = now.Add(time.Millisecond)
		ticket := placeRequest(c, now)
		if ticket == nil {
			t.Fatal("all instances are excluded")
		}
		ticket.Done(now, instances.Broken)
	}
}

// An upstream resets connections beyond its limit; it is then unknown whether an
// at-most-once request was executed.
func TestConnectionsToAnUpstreamAreBounded(t *testing.T) {
	c := instances.NewCatalog(instances.Options{Self: localPlace, ConnectionShare: func(all int) int { return all / 3 }})
	table, err := routes.New(1, nil, []routes.Service{{Name: "app", MaxConnections: 9}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	c.Configure(table)
	c.Put(start, newInstance("u1"))
	var tickets []*instances.Ticket
	for range 9 {
		if ticket := placeRequest(c, start); ticket != nil {
			tickets = append(tickets, ticket)
		}
	}
	if len(tickets) != 3 {
		t.Fatalf("got %d connections, want a third of 9", len(tickets))
	}
	tickets[0].Done(start, instances.Answered)
	if placeRequest(c, start) == nil {
		t.Error("a released connection is not reused")
	}
}

// An upstream that answered slowly for a while must get requests again, also if the
// others are never busy.
func TestUpstreamThatWasSlowIsUsedAgain(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "u1", "u2")
	now := start
	for range 40 {
		if ticket := placeRequest(c, now); ticket != nil {
			took := 5 * time.Millisecond
			if ticket.ID == "u1" {
				took = 800 * time.Millisecond
			}
			ticket.FirstByte(now.Add(took), instances.ReportedLoad{}, true)
			ticket.Done(now.Add(took), instances.Answered)
		}
		now = now.Add(time.Second)
	}
	used := false
	for range 600 {
		ticket := placeRequest(c, now)
		used = used || ticket.ID == "u1"
		ticket.FirstByte(now.Add(5*time.Millisecond), instances.ReportedLoad{}, true)
		ticket.Done(now.Add(5*time.Millisecond), instances.Answered)
		now = now.Add(100 * time.Millisecond)
	}
	if !used {
		t.Error("the upstream that was slow got none of 600 requests in the following minute")
	}
}

package instances_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

var brittle = instances.ReportedLoad{Brittle: true, MaxRejections: 5}

// state places a request and records an answer to it.
func state(t *testing.T, c *instances.Catalog, sentMS, answeredMS int, r instances.ReportedLoad) {
	t.Helper()
	ticket := placeRequest(c, after(sentMS))
	if ticket == nil {
		t.Fatalf("no request was placed at %d ms", sentMS)
	}
	ticket.RecordReport(after(answeredMS), r)
	ticket.Done(after(answeredMS), instances.Answered)
}

// placeAll places requests until none is placed, at most 100.
func placeAll(c *instances.Catalog, ms int) []*instances.Ticket {
	var list []*instances.Ticket
	for len(list) < 100 {
		ticket := placeRequest(c, after(ms))
		if ticket == nil {
			return list
		}
		list = append(list, ticket)
	}
	return list
}

func TestBrittleUpstreamsGetNoMoreRequestsThanSlots(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a", "b")
	state(t, c, 0, 10, brittle)
	list := placeAll(c, 20)
	if len(list) != 8 {
		t.Errorf("%d requests were placed on two brittle upstreams with 4 slots each, one of which has said so", len(list))
	}
	d := refusal(c, after(20))
	if d.Choice != placement.Refuse || d.Delay <= 0 {
		t.Errorf("got %+v, want a refusal with the expected delay", d)
	}
	list[0].Done(after(30), instances.Answered)
	if n := len(placeAll(c, 30)); n != 1 {
		t.Errorf("%d requests were placed after one of 8 was answered", n)
	}
}

func TestBrittleTimeEnds(t *testing.T) {
	for name, c := range map[string]struct {
		// sentMS is when a request is sent whose answer does not say that the upstream is brittle.
		sentMS, atMS int
		over         bool
	}{
		"answer from before the latest statement": {5, 20, false},
		"answer shortly after it":                 {1000, 1010, false},
		"answer some seconds later":               {2100, 2110, true},
		"no statement for a long time":            {-1, 31_000, true},
		"no statement for some seconds":           {-1, 20_000, false},
	} {
		t.Run(name, func(t *testing.T) {
			catalog := newCatalog(t, instances.Options{}, "a")
			state(t, catalog, 0, 10, brittle)
			if c.sentMS >= 0 {
				state(t, catalog, c.sentMS, c.atMS, instances.ReportedLoad{})
			}
			if got := catalog.Pool("app").Brittle(after(c.atMS)); got == c.over {
				t.Errorf("brittle %v", got)
			}
		})
	}
}

func TestRejectionAtBrittleUpstreamIsFollowedByPause(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	state(t, c, 0, 10, brittle)
	ticket := placeRequest(c, after(20))
	ticket.RecordReport(after(30), brittle)
	ticket.Done(after(30), instances.Shed)
	if n := len(placeAll(c, 900)); n != 0 {
		t.Errorf("%d requests were placed within a second of a rejection", n)
	}
	list := placeAll(c, 1100)
	if len(list) != 1 {
		t.Fatalf("%d requests were placed after the pause before one was answered, want 1", len(list))
	}
	list[0].Done(after(1110), instances.Shed)
	if n := len(placeAll(c, 3100)); n != 0 {
		t.Errorf("%d requests were placed within two seconds of a second rejection", n)
	}
	list = placeAll(c, 3120)
	if len(list) != 1 {
		t.Fatalf("%d requests were placed after the second pause, want 1", len(list))
	}
	list[0].Done(after(3130), instances.Answered)
	if n := len(placeAll(c, 3140)); n != 4 {
		t.Errorf("%d requests were placed on 4 slots after one was answered", n)
	}
}

// TestSlotOfRequestThatWasGivenUpStaysTaken: the upstream may work on it for some time.
func TestSlotOfRequestThatWasGivenUpStaysTaken(t *testing.T) {
	for _, o := range []instances.Outcome{instances.Canceled, instances.Broken} {
		c := newCatalog(t, instances.Options{}, "a")
		state(t, c, 0, 10, brittle)
		placeRequest(c, after(20)).Done(after(30), o)
		if n := len(placeAll(c, 100)); n != 3 {
			t.Errorf("%v: %d requests were placed on 4 slots, one of which may be taken", o, n)
		}
		if n := len(placeAll(c, 700)); n != 1 {
			t.Errorf("%v: %d requests were placed on the slot that became free", o, n)
		}
	}
}

func TestUpstreamsThatDoNotSayThatTheyAreBrittleAreNotBounded(t *testing.T) {
	c := newCatalog(t, instances.Options{SlotShares: func([]sharedbounds.UpstreamSlots) []int { panic("not divided") }}, "a")
	state(t, c, 0, 10, instances.ReportedLoad{Running: 1, Slots: 4})
	ticket := placeRequest(c, after(20))
	ticket.Done(after(30), instances.Shed)
	if n := len(placeAll(c, 100)); n <= 4 {
		t.Errorf("%d requests were placed on 4 slots, want some that wait", n)
	}
}

// TestNodesTogetherUseNoMoreThanTheSlots guards against nodes that each count on slots that others take.
func TestNodesTogetherUseNoMoreThanTheSlots(t *testing.T) {
	const nodes, upstreams, slots = 7, 5, 4
	var ids []domain.UpstreamID
	var all []domain.NodeID
	for i := range upstreams {
		ids = append(ids, domain.UpstreamID(fmt.Sprint("u", i)))
	}
	for i := range nodes {
		all = append(all, domain.NodeID(fmt.Sprint("n", i)))
	}
	taken := make(map[domain.UpstreamID]int)
	for _, self := range all {
		c := newCatalog(t, instances.Options{SlotShares: func(list []sharedbounds.UpstreamSlots) []int {
			return sharedbounds.DivideSlots(self, all, list)
		}}, ids...)
		state(t, c, 0, 10, brittle)
		list := placeAll(c, 20)
		if len(list) == 0 {
			t.Errorf("node %s may use no slot", self)
		}
		for _, ticket := range list {
			taken[ticket.ID]++
		}
	}
	for _, id := range ids {
		if taken[id] != slots {
			t.Errorf("all nodes together use %d of %d slots of %s", taken[id], slots, id)
		}
	}
}

func TestNewUpstreamOfBrittleServiceIsBounded(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	state(t, c, 0, 10, brittle)
	c.Put(after(20), instances.Instance{ID: "b", Service: "app", Address: "x:2", Place: localPlace, Slots: 2})
	if n := len(placeAll(c, 20+int(time.Second/time.Millisecond))); n != 6 {
		t.Errorf("%d requests were placed on the 6 slots of two upstreams, the second of which is new", n)
	}
}

func TestNodeThatGotNoAnswerLearnsThatUpstreamsAreBrittle(t *testing.T) {
	told, heard := newCatalog(t, instances.Options{}, "a"), newCatalog(t, instances.Options{}, "a")
	state(t, told, 0, 10, brittle)
	heard.ApplyBrittle(after(500), told.BrittleServices(after(500)))
	if n := len(placeAll(heard, 510)); n != 4 {
		t.Errorf("%d requests were placed on 4 slots by a node that another one told", n)
	}
	state(t, told, 3000, 3010, instances.ReportedLoad{})
	if got := told.BrittleServices(after(3020)); len(got) > 0 {
		t.Errorf("%+v is told after the end of the brittle time", got)
	}
}

package instances_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/routes"
)

// grantedPool is a pool of four upstreams of six slots; u3 leaves, and u4 is of another region.
func grantedPool() *instances.Pool {
	c := instances.NewCatalog(instances.Options{Self: domain.Place{Region: "west"}})
	for i, id := range []domain.UpstreamID{"u1", "u2", "u3", "u4"} {
		in := instances.Instance{ID: id, Service: "app", Slots: 6, Place: domain.Place{Region: "west"}, Leaving: i == 2}
		if i == 3 {
			in.Place.Region = "east"
		}
		c.Put(start, in)
	}
	return c.Pool("app")
}

func offered(p *instances.Pool, now time.Time) (ids []domain.UpstreamID) {
	for _, o := range p.Offers(now) {
		ids = append(ids, o.ID)
	}
	return ids
}

// A broker that offers what this package excludes would undo what callers are protected from.
func TestOnlyUsableUpstreamsAreOfferedAndReserved(t *testing.T) {
	p := grantedPool()
	if got := offered(p, start); len(got) != 2 || got[0] != "u1" || got[1] != "u2" {
		t.Errorf("got %v offered, want u1 and u2", got)
	}
	for id, want := range map[domain.UpstreamID]bool{"u1": true, "u3": false, "u4": false, "u9": false} {
		ticket := p.Reserve(start, id, &instances.Query{})
		if (ticket != nil) != want {
			t.Errorf("%s: got reserved %v, want %v", id, ticket != nil, want)
		}
		if ticket != nil {
			ticket.Done(start, instances.Answered)
		}
	}
}

// What other nodes see of an upstream counts as what this node sees: a broker sends hardly any requests
// itself.
func TestFailuresAtOtherNodesExcludeAnUpstream(t *testing.T) {
	p := grantedPool()
	p.RecordOutcome(start, "u1", instances.Unreachable)
	if got := offered(p, start); len(got) != 2 {
		t.Errorf("got %v offered after one node did not reach one of them, want both", got)
	}
	for range 9 {
		p.RecordOutcome(start, "u1", instances.Unreachable)
	}
	if got := offered(p, start); len(got) != 1 || got[0] != "u2" {
		t.Errorf("got %v offered, want u2", got)
	}
	if p.Reserve(start, "u1", &instances.Query{}) != nil {
		t.Error("a suspect upstream is used while another is not suspect")
	}
}

// A broker learns the outcomes of every node of its region. Failures that all upstreams have alike must
// not exclude one of them, or half of the places of two upstreams are not granted.
func TestUsualFailuresAtOtherNodesExcludeNoUpstream(t *testing.T) {
	p := grantedPool()
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		o := instances.Answered
		if random.Float64() < 0.1 {
			o = instances.ServerError
		}
		p.RecordOutcome(now, []domain.UpstreamID{"u1", "u2"}[random.IntN(2)], o)
		if got := offered(p, now); len(got) != 2 {
			t.Fatalf("outcome %d: got %v offered, want both upstreams", i, got)
		}
	}
}

// Connections beyond the even share must not stay open: those of all nodes together would exceed what
// the upstream accepts.
func TestPlaceBeyondTheShareOfConnectionsIsMarked(t *testing.T) {
	c := instances.NewCatalog(instances.Options{Self: domain.Place{Region: "west"}, IdleConnectionShare: func(int) int { return 1 }})
	c.Put(start, instances.Instance{ID: "u1", Service: "app", Slots: 6, Place: domain.Place{Region: "west"}})
	table, err := routes.New(1, nil, []routes.Service{{Name: "app", MaxConnections: 9}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	c.Configure(table)
	p := c.Pool("app")
	if first, second := p.Reserve(start, "u1", &instances.Query{}), p.Reserve(start, "u1", &instances.Query{}); first.BeyondShare || !second.BeyondShare {
		t.Errorf("got marks %v and %v, want one on the second place", first.BeyondShare, second.BeyondShare)
	}
}

func TestSizesDecideWhetherPlacesAreFew(t *testing.T) {
	p := grantedPool()
	for nodes, want := range map[float64]bool{18: false, 19: true} {
		if got := p.HasFewerSlots(func() float64 { return nodes }); got != want {
			t.Errorf("18 slots of the region before %v nodes: got %v, want %v", nodes, got, want)
		}
	}
}

package instances_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// coldRate is that of newCatalog's service, maxColdArrivals what its upstreams may get in a second.
const (
	coldRate        = 2
	maxColdArrivals = 1.5*coldRate + 3
)

// coldRegion is the nodes of a region with one upstream that has a cold phase.
type coldRegion []*instances.Catalog

func newColdRegion(t *testing.T, nodes int) coldRegion {
	r := make(coldRegion, nodes)
	for i := range r {
		r[i] = newCatalog(t, instances.Options{
			ColdShare: func(rate float64) float64 { return sharedbounds.ColdRate(nodes, rate) },
			ColdPhase: func(domain.UpstreamID) float64 { return float64(i) / float64(nodes) },
		}, "a")
	}
	return r
}

// propagate applies what one node knows of upstreams at all others, in answer to their questions.
func (r coldRegion) propagate(now time.Time, from int) {
	for i := range r {
		if i != from {
			r.tell(now, now, from, i)
		}
	}
}

// tell applies a message from a node, composed at composedAt, at another one.
func (r coldRegion) tell(composedAt, now time.Time, from, to int) {
	r[to].ApplyStatements(now, composedAt, r[from].Statements(composedAt))
}

// refuse lets a request of a node be refused.
func (r coldRegion) refuse(now time.Time, node int) {
	t := placeRequest(r[node], now)
	t.ConnectionLost(now, instances.LossRefused)
	t.Done(now, instances.Unreachable)
}

// health lets a node make the health request that is due.
func (r coldRegion) health(t *testing.T, now time.Time, node int, coldFor time.Duration) {
	t.Helper()
	due := r[node].DueHealthChecks(now, false, func(string, domain.UpstreamID) bool { return true })
	if len(due) != 1 {
		t.Fatalf("%d health requests are due %v after the start, want 1", len(due), now.Sub(start))
	}
	r[node].RecordHealth(now, now, due[0], coldFor)
}

// checkNotFlooded places requests for a second.
func (r coldRegion) checkNotFlooded(t *testing.T, from time.Time) {
	t.Helper()
	if got := r.placedInSecond(from); got > maxColdArrivals {
		t.Errorf("%d requests in a second were placed on an upstream that may have started again, want at most %v", got, maxColdArrivals)
	}
}

// checkServed checks that requests are placed at the full rate.
func (r coldRegion) checkServed(t *testing.T, from time.Time) {
	t.Helper()
	if got, all := r.placedInSecond(from), 10*len(r); got < all {
		t.Errorf("%d of %d requests were placed on an upstream that has not started again, want all", got, all)
	}
}

// placedInSecond returns the number of requests placed if each node places one every 100 ms.
func (r coldRegion) placedInSecond(from time.Time) int {
	placed := 0
	for now := from; now.Before(from.Add(time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, c := range r {
			if ticket := placeRequest(c, now); ticket != nil {
				placed++
				ticket.Done(now, instances.Answered)
			}
		}
	}
	return placed
}

// The entry of the new process is written after requests arrive.
func TestRestartNoticedByOneNodeDoesNotFloodUpstream(t *testing.T) {
	r := newColdRegion(t, 12)
	r.refuse(after(10), 0)
	r.propagate(after(20), 0)
	r.checkNotFlooded(t, after(700))
}

func TestAnswerReadLateDoesNotRefuteRefusedConnections(t *testing.T) {
	r := newColdRegion(t, 12)
	before := placeRequest(r[0], start)
	for i := range r {
		r.refuse(after(1050), i)
	}
	before.Progress(after(2200))
	r.propagate(after(2210), 0)
	r.checkNotFlooded(t, after(2300))
}

func TestWarmStatementHeldUpDoesNotSettleLaterLoss(t *testing.T) {
	r := newColdRegion(t, 2)
	r.refuse(start, 0)
	r.health(t, after(1500), 0, 0)
	composedAt := after(1600)
	r.refuse(after(1700), 1)
	r.tell(composedAt, after(4000), 0, 1)
	if got := countPlaced(r[1], after(4100), 3); got > 1 {
		t.Errorf("%d requests were placed at once on an upstream that refused a connection after it had been warm, want at most 1", got)
	}
}

func TestWarmStatementSettlesLossesOfRegion(t *testing.T) {
	r := newColdRegion(t, 12)
	r.refuse(start, 0)
	r.propagate(after(400), 0) // underway for a time
	r.health(t, after(1500), 1, 0)
	r.propagate(after(1600), 1)
	r.checkServed(t, after(1700))
}

func TestRefusedConnectionIsToldByNodesThatWereTold(t *testing.T) {
	r := newColdRegion(t, 3)
	r.refuse(start, 0)
	r.tell(after(10), after(10), 0, 1)
	r.tell(after(500), after(500), 1, 2)
	if got := countPlaced(r[2], after(600), 3); got > 1 {
		t.Errorf("%d requests were placed at once by a node that heard of a refused connection from one that was told, want at most 1", got)
	}
}

func TestListOfOldEntriesDoesNotSettleRestart(t *testing.T) {
	r := newColdRegion(t, 1)
	r.refuse(after(1000), 0)
	old := newInstance("a")
	old.Sequence = 7
	r[0].Replace(after(6000), []instances.Instance{old})
	if got := countPlaced(r[0], after(6100), 3); got > 1 {
		t.Errorf("%d requests were placed at once after a list whose entries may be from before the restart, want at most 1", got)
	}
}

func TestNodesThatNoticeRestartTogetherDoNotAllAskForHealth(t *testing.T) {
	r := newColdRegion(t, 24)
	for _, c := range r {
		c.RecordIdleClosed(start, "x:1", time.Second, 0)
	}
	asked, found := 0, -1
	for now := start; now.Before(after(1500)); now = now.Add(10 * time.Millisecond) {
		if found >= 0 {
			r.propagate(now, found)
		}
		for i, c := range r {
			for _, check := range c.DueHealthChecks(now, false, func(string, domain.UpstreamID) bool { return false }) {
				asked++
				found = i
				c.RecordHealth(now, now, check, 3*time.Second)
			}
		}
	}
	if asked == 0 || asked > maxColdArrivals {
		t.Errorf("%d health requests were made, want 1 to %v", asked, maxColdArrivals)
	}
}

func TestColdPhaseThatEndedDoesNotCountForLaterLoss(t *testing.T) {
	r := newColdRegion(t, 1)
	r.refuse(start, 0)
	placeRequest(r[0], after(4000)).RecordReport(after(4100), instances.ReportedLoad{})
	before := placeRequest(r[0], after(20000))
	placeRequest(r[0], after(20100)).ConnectionLost(after(20200), instances.LossClosed)
	before.Progress(after(20500))
	if got := countPlaced(r[0], after(20600), 3); got < 3 {
		t.Errorf("%d of 3 requests were placed, though an answer from before the loss goes on, want all", got)
	}
}

func TestUrgentStatementsAreNotLeftOutOfMessage(t *testing.T) {
	c := newCatalog(t, instances.Options{})
	for i := range 100 {
		id := domain.UpstreamID(fmt.Sprint("u", i))
		c.Put(start, newInstance(id))
		c.ApplyStatements(start, time.Time{}, []instances.Statement{{Service: "app", Instance: id, Leaving: true}})
	}
	c.ApplyStatements(start, time.Time{}, []instances.Statement{{Service: "app", Instance: "u50", Lost: &instances.ToldLoss{}}})
	if !slices.ContainsFunc(c.Statements(after(10)), func(s instances.Statement) bool { return s.Lost != nil }) {
		t.Error("the message about a refused connection does not tell of it")
	}
}

// answer lets a node get the answer to a request sent at sentAt on a connection from connectedAt; it needs the node's share.
func (r coldRegion) answer(t *testing.T, node int, sentAt, connectedAt, readAt time.Time) {
	t.Helper()
	ticket := placeRequest(r[node], sentAt)
	if ticket == nil {
		t.Fatalf("node %d may send no request %v after the start", node, sentAt.Sub(start))
	}
	ticket.ConnectedAt(connectedAt)
	ticket.RecordReport(readAt, instances.ReportedLoad{})
	ticket.Done(readAt, instances.Answered)
}

func TestRequestAnsweredOnOlderConnectionRefutesRefusedConnections(t *testing.T) {
	for name, c := range map[string]struct {
		connectedAt time.Time
		want        bool
	}{
		"connected long before":           {after(500), true},
		"connected before a held message": {after(7000), false}, // whose losses may be from before the connection
		"connected after the loss":        {after(10100), false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newColdRegion(t, 2)
			r.refuse(after(10000), 0)
			r.tell(after(10010), after(10010), 0, 1)
			r.answer(t, 1, after(11500), c.connectedAt, after(11520))
			if got := countPlaced(r[1], after(11600), 3) == 3; got != c.want {
				t.Errorf("placed without a bound: %v, want %v", got, c.want)
			}
		})
	}
}

func TestAnswerToRequestSentBeforeRefusalDoesNotRefuteIt(t *testing.T) {
	r := newColdRegion(t, 1)
	before := placeRequest(r[0], start)
	before.ConnectedAt(start)
	r.refuse(after(1000), 0)
	before.RecordReport(after(2000), instances.ReportedLoad{})
	if got := countPlaced(r[0], after(2100), 3); got > 1 {
		t.Errorf("%d requests were placed at once on an upstream that refused a connection after the request was sent, want at most 1", got)
	}
}

func TestRefusalsOfNodeThatReachesNoUpstreamAreNotTold(t *testing.T) {
	r := coldRegion{newPathCatalog(t, instances.Options{}, 3), newPathCatalog(t, instances.Options{}, 3)}
	for _, address := range []string{"u0:1", "u1:1"} {
		r[0].RecordDial(address, start, false)
	}
	r.refuse(after(10), 0)
	r.propagate(after(20), 0)
	if got := countCold(r[1], after(30)); got > 0 {
		t.Errorf("%d upstreams count as cold while the refusing path may be the other node's, want none", got)
	}
	r[0].RecordDial("u2:1", after(1100), true) // it was not the path
	r.propagate(after(1110), 0)
	if got := countCold(r[1], after(1120)); got != 1 {
		t.Errorf("%d upstreams count as cold at a node that heard of a refused connection, want 1", got)
	}
}

func countCold(c *instances.Catalog, now time.Time) int {
	n := 0
	for _, s := range c.Statuses(now) {
		if s.Availability == instances.Cold {
			n++
		}
	}
	return n
}

func TestContinuedRefusalsOfOneNodeDoNotDelayHealthRequest(t *testing.T) {
	r := newColdRegion(t, 3)
	for ms := 0; ms < 1400; ms += 100 {
		r[0].RecordHealthRefused(after(ms), instances.HealthCheck{Instance: newInstance("a")})
		r.propagate(after(ms+10), 0)
	}
	r.health(t, after(1450), 1, 0)
	r.propagate(after(1460), 1)
	r.propagate(after(1470), 0)
	if got := countPlaced(r[2], after(1500), 3); got != 3 {
		t.Errorf("%d of 3 requests were placed on an upstream that one node alone does not reach, want all", got)
	}
}

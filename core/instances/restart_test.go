package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
)

// checkPlaced checks that n requests at once are placed on a node's upstream.
func (r coldRegion) checkPlaced(t *testing.T, now time.Time, node int, because string) {
	t.Helper()
	const many = 3
	if got := countPlaced(r[node], now, many); got < many {
		t.Errorf("%d of %d requests were placed %v after the start, want all: %s", got, many, now.Sub(start), because)
	}
}

// checkBounded checks that one request at most is placed at once on a node's upstream.
func (r coldRegion) checkBounded(t *testing.T, now time.Time, node int, because string) {
	t.Helper()
	if got := countPlaced(r[node], now, 3); got > 1 {
		t.Errorf("%d requests were placed at once %v after the start, want at most 1: %s", got, now.Sub(start), because)
	}
}

// settle lets a node's health request settle a told refusal of another one, so that no restart is presumed.
func (r coldRegion) settle(t *testing.T, refusedMS, refused, checks int) {
	t.Helper()
	r.refuse(after(refusedMS), refused)
	r.propagate(after(refusedMS+10), refused)
	r.health(t, after(refusedMS+1500), checks, 0)
	r.propagate(after(refusedMS+1510), checks)
}

// The process that started after the first refusal ends, too, 1.4 s after its first answer.
func TestSecondRestartSoonAfterFirstDoesNotFloodUpstream(t *testing.T) {
	r := newColdRegion(t, 3)
	r.refuse(start, 0)
	r.propagate(after(10), 0)
	r.answer(t, 1, after(1100), after(1110), after(1120))
	r.answer(t, 2, after(2100), after(2110), after(2120))
	r.refuse(after(2500), 0)
	r.propagate(after(2510), 0) // the upstream is cold from 2700 to 5700 ms
	if got := countPlaced(r[1], after(4200), 3); got > 1 {
		t.Errorf("%d requests were placed at once on an upstream that refused another node 1.7 s before, want at most 1", got)
	}
}

func TestEntryOfProcessThatHasEndedDoesNotSettleLaterLoss(t *testing.T) {
	r := newColdRegion(t, 2)
	r.refuse(after(10000), 0)
	r.propagate(after(10010), 0)
	in := newInstance("a")
	in.Started = 1 // it says that its cold phase is over, so it started 3 s before the loss or earlier
	for i := range r {
		r[i].Put(after(10200), in)
	}
	r.checkNotFlooded(t, after(10300))
}

func TestRefusalToldByNodeWithOlderEntryDoesNotFloodUpstream(t *testing.T) {
	r := newColdRegion(t, 2)
	in := newInstance("a")
	in.Started = 1
	r[1].Put(after(1000), in)
	r.refuse(after(1100), 0) // its entry is from before
	r.propagate(after(1110), 0)
	r.checkBounded(t, after(1200), 1, "another node was refused, whatever process it expected")
}

func TestRefusalSoonAfterSettledLossIsNotTakenForTheSame(t *testing.T) {
	r := newColdRegion(t, 2)
	before := placeRequest(r[1], after(100))
	lost := placeRequest(r[1], after(200))
	lost.ConnectionLost(after(1000), instances.LossClosed)
	lost.Done(after(1000), instances.Broken)
	before.Progress(after(1150)) // the old process still runs
	before.Done(after(1160), instances.Answered)
	r.checkPlaced(t, after(1170), 1, "the loss is refuted")
	r.refuse(after(1250), 0)
	r.propagate(after(1260), 0)
	r.checkBounded(t, after(1700), 1, "the refusal is later than the answer that settled the earlier loss")
}

func TestAnswerOfProcessConnectedBeforeRefusalWasReadDoesNotRefuteIt(t *testing.T) {
	r := newColdRegion(t, 1)
	refused := placeRequest(r[0], start)
	between := placeRequest(r[0], after(5)) // connects to the new process before this node reads the refusal
	refused.ConnectionLost(after(60), instances.LossRefused)
	between.ConnectedAt(after(20))
	between.Done(after(70), instances.Answered)
	r.answer(t, 0, after(100), after(20), after(120))
	r.checkBounded(t, after(200), 0, "the connection may be later than the refusal, which was read late")
}

func TestIdleConnectionThatRestartClosedTeachesNoTimeoutAtLaterLoss(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	c.RecordIdleClosed(start, "x:1", idleFor, 0) // a restart
	ticket := placeRequest(c, after(1000))
	ticket.RecordReport(after(1100), instances.ReportedLoad{})
	ticket.Done(after(1100), instances.Answered)
	before := placeRequest(c, after(20000))
	placeRequest(c, after(20100)).ConnectionLost(after(20200), instances.LossClosed)
	before.Progress(after(20500))
	before.Done(after(20600), instances.Answered)
	checkFullRate(t, c, after(20700), true)
	c.RecordIdleClosed(after(22000), "x:1", idleFor, 0)
	checkFullRate(t, c, after(22100), false)
}

// A connection that stayed open for ten times the timeout shows that it does not apply.
func TestIdleTimeoutDoesNotExplainEndOfConnectionThatOutlastedIt(t *testing.T) {
	const outlasted = 10 * idleFor
	t.Run("learned", func(t *testing.T) {
		c := newWatched(t)
		recordHealth(t, c, after(300), 0)
		checkFullRate(t, c, after(900), true)
		c.RecordIdleClosed(after(1000), "x:1", outlasted, 0)
		checkFullRate(t, c, after(1100), false)
	})
	t.Run("stated", func(t *testing.T) {
		c := newCatalog(t, instances.Options{}, "a")
		c.RecordIdleClosed(start, "x:1", outlasted, idleFor)
		checkFullRate(t, c, after(100), false)
	})
}

// A node whose connections end while it opens no new ones sends again before the entries tell of the restart.
func TestRestartSeenWhileNoUpstreamIsReachedDoesNotFloodUpstream(t *testing.T) {
	for name, end := range map[string]func(c *instances.Catalog, before *instances.Ticket){
		"end of an answer": func(_ *instances.Catalog, before *instances.Ticket) {
			before.ConnectionLost(after(1500), instances.LossClosed)
		},
		"end of an idle connection": func(c *instances.Catalog, _ *instances.Ticket) {
			c.RecordIdleClosed(after(1500), "x:1", time.Second, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newColdRegion(t, 3)
			for i := range r {
				before := placeRequest(r[i], start)
				r[i].SetPathsLost(after(500), "app", true)
				end(r[i], before)
				before.Done(after(1500), instances.Broken)
				r[i].SetPathsLost(after(2500), "app", false)
			}
			r.checkNotFlooded(t, after(2600))
		})
	}
}

func TestRefusalFromBeforePathsWereLostIsTold(t *testing.T) {
	r := coldRegion{newPathCatalog(t, instances.Options{}, 3), newPathCatalog(t, instances.Options{}, 3)}
	r[0].RecordDial("u0:1", start, false)
	r.refuse(after(10), 0)
	r[0].RecordDial("u1:1", after(20), true) // the path was there
	r[0].RecordDial("u1:1", after(200), false)
	r[0].RecordDial("u2:1", after(200), false)
	r[0].SetPathsLost(after(300), "app", true)
	r.propagate(after(310), 0)
	if got := countCold(r[1], after(400)); got != 1 {
		t.Errorf("%d upstreams count as cold, want the one that refused before the paths were lost", got)
	}
}

func TestRefusalAfterPathWasRestoredIsTold(t *testing.T) {
	r := newColdRegion(t, 2)
	r.settle(t, 0, 0, 1) // only node 0 was refused, by its path
	due := r[0].DueHealthChecks(after(20000), true, func(string, domain.UpstreamID) bool { return true })
	if len(due) != 1 {
		t.Fatalf("%d health requests are due, want 1", len(due))
	}
	r[0].RecordHealth(after(20000), after(20000), due[0], 0) // the path is there again
	r.refuse(after(30000), 0)
	r.propagate(after(30010), 0)
	r.checkBounded(t, after(30100), 1, "a node that reached the upstream since was refused")
}

// The process starts again at 300 ms; no other node has a connection to it.
func TestRestartSeenByIdleConnectionOfOneNodeDoesNotFloodUpstream(t *testing.T) {
	const startedAgainMS = 300
	r := newColdRegion(t, 12)
	observer := len(r) - 1
	r[observer].RecordIdleClosed(start, "x:1", time.Second, 0)
	placed := 0
	for ms := startedAgainMS; ms < startedAgainMS+1000; ms += 50 {
		now := after(ms)
		for _, check := range r[observer].DueHealthChecks(now, false, func(string, domain.UpstreamID) bool { return false }) {
			r[observer].RecordHealth(now, now, check, 3*time.Second)
		}
		r.propagate(now, observer)
		for i := range r {
			if ticket := placeRequest(r[i], now); ticket != nil {
				placed++
				ticket.Done(now, instances.Answered)
			}
		}
	}
	if placed > maxColdArrivals {
		t.Errorf("%d requests in a second were placed on an upstream whose end one node noticed, want at most %v", placed, maxColdArrivals)
	}
}

func TestHigherLimitInMessageHeldUpDoesNotReplaceLaterLowerLimit(t *testing.T) {
	for name, composedAfter := range map[string]time.Time{"call of another node": {}, "answer to a call": after(100)} {
		t.Run(name, func(t *testing.T) {
			sender, other := newCatalog(t, instances.Options{}, "a"), newCatalog(t, instances.Options{}, "a")
			answer(t, sender, 0, 10, 50)
			heldUp := sender.RateLimits(after(100))
			answer(t, other, 3000, 3010, 2)
			other.ApplyRateLimits(after(4500), composedAfter, heldUp)
			if n := placedFrom(other, 4600); n > 2 {
				t.Errorf("%d requests in a second were placed on an upstream that accepts 2", n)
			}
		})
	}
}

func TestShorterColdStatementDoesNotShortenWhatIsTold(t *testing.T) {
	r := newColdRegion(t, 2)
	cold := func(d time.Duration) []instances.Statement {
		return []instances.Statement{{Service: "app", Instance: "a", ColdFor: d}}
	}
	r[0].ApplyStatements(start, time.Time{}, cold(3*time.Second))
	r[0].ApplyStatements(after(10), time.Time{}, cold(200*time.Millisecond)) // of an earlier cold phase
	r.propagate(after(500), 0)
	r.checkBounded(t, after(600), 1, "the node that tells it knows that the upstream is cold")
}

func TestRefusalsOfOneNodeAreNotToldAgainOnceOthersReachedUpstream(t *testing.T) {
	r := newColdRegion(t, 2)
	r.refuse(start, 0)
	r.propagate(after(10), 0)
	r.propagate(after(310), 1) // it tells on what it was told
	r.health(t, after(1500), 1, 0)
	r.propagate(after(1510), 1)
	r.refuse(after(5000), 0)
	r.propagate(after(5010), 0)
	r.checkPlaced(t, after(5100), 1, "the path of the other node alone is refused")
}

// Node 0 alone checks the health of the upstream for the region, and its path to it is refused.
func TestNodeThatChecksHealthButIsRefusedDoesNotKeepUpstreamBounded(t *testing.T) {
	r := newColdRegion(t, 3)
	r.refuse(start, 0)
	bounded := 0 // in the last 10 s
	for ms := 0; ms < 25000; ms += 100 {
		now := after(ms)
		for i := range r {
			if ms%300 == 0 {
				r.propagate(now, i)
			}
			for _, check := range r[i].DueHealthChecks(now, false, func(string, domain.UpstreamID) bool { return i == 0 }) {
				if i == 0 {
					r[i].RecordHealthRefused(now, check)
				} else {
					r[i].RecordHealth(now, now, check, 0)
				}
			}
			if i == 0 {
				continue
			}
			if ticket := placeRequest(r[i], now); ticket != nil {
				ticket.ConnectedAt(now)
				ticket.RecordReport(now, instances.ReportedLoad{})
				ticket.Done(now, instances.Answered)
			} else if ms >= 15000 {
				bounded++
			}
		}
	}
	if bounded > 100 {
		t.Errorf("%d of 200 requests were not placed in 10 s on an upstream that refuses one node only, want at most 100", bounded)
	}
}

// The old process ends at 0 ms, the new one accepts the connection at 350 ms, the end is read at 400 ms.
func TestAnswerOfProcessConnectedBeforeEndWasReadDoesNotRefuteRestart(t *testing.T) {
	for name, sentMS := range map[string]int{"request sent before the end was read": 360, "request sent after it": 500} {
		t.Run(name, func(t *testing.T) {
			c := newCatalog(t, instances.Options{}, "a")
			events := map[int]func(){400: func() { c.RecordIdleClosed(after(400), "x:1", idleFor/2, 0) }}
			var ticket *instances.Ticket
			events[sentMS] = func() {
				ticket = placeRequest(c, after(sentMS))
				ticket.ConnectedAt(after(350))
			}
			for _, ms := range []int{360, 400, 500} {
				if event, found := events[ms]; found {
					event()
				}
			}
			ticket.RecordReport(after(620), instances.ReportedLoad{})
			ticket.Done(after(630), instances.Answered)
			checkFullRate(t, c, after(700), false)
		})
	}
}

// Messages between nodes are underway for 400 ms.
func TestRefusalInSlowMessagesIsNotPresumedAgainAfterItWasSettled(t *testing.T) {
	const underway = 400 * time.Millisecond
	r := newColdRegion(t, 3)
	r.refuse(start, 0)
	type message struct {
		at       time.Time
		from, to int
		list     []instances.Statement
		askedAt  time.Time
	}
	var messages []message
	checks, boundedUntil := 0, time.Duration(0)
	for ms := 10; ms < 60000; ms += 10 {
		now := after(ms)
		for len(messages) > 0 && !messages[0].at.After(now) {
			m := messages[0]
			messages = messages[1:]
			r[m.to].ApplyStatements(now, m.askedAt, m.list)
		}
		if i, round := ms/100%3, ms/300; ms%100 == 0 { // each node sends one every 300 ms
			messages = append(messages, message{now.Add(underway), i, (i + 1 + round%2) % 3, r[i].Statements(now), now.Add(-underway)})
		}
		if ms%250 == 0 {
			for i := range r {
				for _, check := range r[i].DueHealthChecks(now, false, func(string, domain.UpstreamID) bool { return i == 1 }) {
					checks++
					r[i].RecordHealth(now, now, check, 0)
				}
			}
		}
		for i := range r {
			for _, s := range r[i].Statuses(now) {
				if s.Availability == instances.Cold {
					boundedUntil = now.Sub(start)
				}
			}
		}
	}
	if boundedUntil > 10*time.Second {
		t.Errorf("the upstream counted as cold until %v after one refused connection, and was asked for its health %d times; want at most 10 s", boundedUntil, checks)
	}
}

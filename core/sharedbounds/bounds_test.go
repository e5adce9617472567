package sharedbounds_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// TestFleetRetriesStayWithinTheBound simulates a fleet in which every request is to be
// retried, and counts the retries over each window.
func TestFleetRetriesStayWithinTheBound(t *testing.T) {
	const (
		nodes  = 9
		ratio  = 0.2
		slack  = 58.0
		window = 10 * time.Second
	)
	rnd := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	budgets := make([]*sharedbounds.RetryBudget, nodes)
	for i := range budgets {
		budgets[i] = sharedbounds.NewRetryBudget(ratio, slack, window)
	}
	type event struct {
		at    time.Duration
		retry bool
	}
	var events []event
	for at := time.Duration(0); at < 40*time.Second; at += 5 * time.Millisecond {
		if at > 15*time.Second && at < 25*time.Second && rnd.IntN(10) > 0 {
			continue // a period of low traffic, after which old first sends must not count
		}
		node := rnd.IntN(nodes)
		now := start.Add(at)
		budgets[node].RecordFirstSend(now, "s")
		events = append(events, event{at, false})
		if budgets[node].Take(now, "s", nodes) {
			events = append(events, event{at, true})
		}
	}
	granted := 0
	for i := range events {
		firstSends, retries := 0, 0
		for _, e := range events[i:] {
			if e.at-events[i].at >= window {
				break
			}
			if e.retry {
				retries++
			} else {
				firstSends++
			}
		}
		granted = max(granted, retries)
		if float64(retries) > ratio*float64(firstSends)+slack {
			t.Fatalf("in the window from %v: got %d retries for %d first sends, want them within the limit", events[i].at, retries, firstSends)
		}
	}
	if granted < 100 {
		t.Errorf("got at most %d retries in a window, want at least 100", granted)
	}
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := sharedbounds.NewRetryBudget(0, 10, time.Second)
	now := time.Unix(1, 0)
	for b.Take(now, "a", 1) {
	}
	if !b.Take(now, "b", 1) {
		t.Error("got no retry for a service after another used up its budget")
	}
}

// TestColdUpstreamReceivesAtMostItsRate has every node of a region send as much as its
// share allows.
func TestColdUpstreamReceivesAtMostItsRate(t *testing.T) {
	const rate, tolerance, burst = 6.5, 1.5, 3
	for _, nodes := range []int{1, 2, 4, 28} {
		var members []domain.NodeID
		for i := range nodes {
			members = append(members, domain.NodeID(fmt.Sprint("node-", i)))
		}
		pacers := make([]sharedbounds.Pacer, nodes)
		var sent []time.Time
		start := time.Unix(1000, 0)
		for at := time.Duration(0); at < 5*time.Second; at += time.Millisecond {
			now := start.Add(at)
			for i, m := range members {
				share := sharedbounds.ColdRate(m, members, "u", rate)
				if pacers[i].Ready(now, share) {
					pacers[i].Record(now, share)
					sent = append(sent, now)
				}
			}
		}
		for i := range sent {
			n := 0
			for _, s := range sent[i:] {
				if s.Sub(sent[i]) < time.Second {
					n++
				}
			}
			if float64(n) > rate*tolerance+burst {
				t.Fatalf("%d nodes: got %d requests in a second, want at most the rate and its tolerance", nodes, n)
			}
		}
		if len(sent) < 15 {
			t.Errorf("%d nodes: got %d requests in five seconds, want at least 15", nodes, len(sent))
		}
	}
}

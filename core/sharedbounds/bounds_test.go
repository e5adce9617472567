package sharedbounds_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
				share := sharedbounds.ColdRate(len(members), rate)
				if at == 0 {
					pacers[i].Delay(now, share, sharedbounds.ColdPhase(m, members, "u"))
				}
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

// TestFleetStaysWithinNamedRateLimit: every node wants to send to a limited upstream all the
// time. In any 4 s it may get one and a half times what its limit allows, plus 5. Views of the
// members differ as while a node is added, gone or cut off.
func TestFleetStaysWithinNamedRateLimit(t *testing.T) {
	const window, tolerance, slack = 4 * time.Second, 1.5, 5
	for _, nodes := range []int{1, 2, 3, 4, 30, 95, 330} {
		ids := make([]domain.NodeID, nodes)
		for i := range ids {
			ids[i] = domain.NodeID(fmt.Sprint("node-", i))
		}
		views := map[string]func(i int) []domain.NodeID{
			"all know all":            func(int) []domain.NodeID { return ids },
			"one node is not known":   func(i int) []domain.NodeID { return without(ids, 0, i) },
			"one node that is gone":   func(int) []domain.NodeID { return append([]domain.NodeID{"gone"}, ids...) },
			"two halves are cut off":  func(i int) []domain.NodeID { return half(ids, i) },
			"one knows itself only":   func(i int) []domain.NodeID { return alone(ids, i) },
			"nodes learn of a member": func(i int) []domain.NodeID { return without(ids, nodes-1, i) },
		}
		for view, members := range views {
			for _, rate := range []float64{0.5, 2, 2.1, 7, 50} {
				sent := sendAtRate(ids, members, rate, 30*time.Second)
				allowed := int(tolerance*rate*window.Seconds()) + slack
				if got := maxInWindow(sent, window); got > allowed {
					t.Errorf("%d nodes, %s, limit %v: %d requests in %v, want at most %d", nodes, view, rate, got, window, allowed)
				}
				if want := int(0.3 * rate * 30); len(sent) < want && view != "one node that is gone" {
					t.Errorf("%d nodes, %s, limit %v: %d requests in 30 s, want at least %d", nodes, view, rate, len(sent), want)
				}
			}
		}
	}
}

// sendAtRate returns when nodes sent to the upstream "u", each as often as its share allows.
func sendAtRate(ids []domain.NodeID, members func(int) []domain.NodeID, rate float64, length time.Duration) []time.Duration {
	start := time.Unix(1000, 0)
	pacers := make([]sharedbounds.Pacer, len(ids))
	shares := make([]float64, len(ids))
	for i := range ids {
		shares[i] = sharedbounds.LimitedRate(ids[i], members(i), "u", rate)
	}
	var sent []time.Duration
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		for i := range ids {
			if now := start.Add(at); pacers[i].Ready(now, shares[i]) {
				pacers[i].Record(now, shares[i])
				sent = append(sent, at)
			}
		}
	}
	return sent
}

func maxInWindow(sent []time.Duration, window time.Duration) int {
	highest, first := 0, 0
	for i, at := range sent {
		for at-sent[first] > window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// without returns the members as known to node i, which does not know another one.
func without(ids []domain.NodeID, unknown, i int) []domain.NodeID {
	return slices.DeleteFunc(slices.Clone(ids), func(id domain.NodeID) bool { return id == ids[unknown] && i != unknown })
}

// half returns the half of the members to which node i belongs.
func half(ids []domain.NodeID, i int) []domain.NodeID {
	if middle := len(ids) / 2; i < middle {
		return ids[:middle]
	} else {
		return ids[middle:]
	}
}

// alone returns only the first node for itself, and all members for the others.
func alone(ids []domain.NodeID, i int) []domain.NodeID {
	if i == 0 {
		return ids[:1]
	}
	return ids
}

// TestColdUpstreamStaysWithinBoundWhateverNodesKnowOfEachOther: every node sends as much as its
// share allows, also while the nodes do not hear of each other and know of different numbers of them.
func TestColdUpstreamStaysWithinBoundWhateverNodesKnowOfEachOther(t *testing.T) {
	const tolerance, slack = 1.5, 3
	for _, nodes := range []int{1, 2, 3, 4, 8, 30} {
		ids := make([]domain.NodeID, nodes)
		for i := range ids {
			ids[i] = domain.NodeID(fmt.Sprint("node-", i))
		}
		// Each view returns the nodes that node i knows of, whether it hears of them or not.
		views := map[string]func(i int) []domain.NodeID{
			"all know all":                    func(int) []domain.NodeID { return ids },
			"one knows itself only":           func(i int) []domain.NodeID { return alone(ids, i) },
			"one node is not known":           func(i int) []domain.NodeID { return without(ids, 0, i) },
			"none knows a third of them":      func(i int) []domain.NodeID { return mostOf(ids, i) },
			"half of them know half of them":  func(i int) []domain.NodeID { return halfKnown(ids, i) },
			"two halves know themselves only": func(i int) []domain.NodeID { return half(ids, i) },
			"all know of nodes that are gone": func(int) []domain.NodeID { return append([]domain.NodeID{"gone 1", "gone 2"}, ids...) },
		}
		for view, known := range views {
			for _, rate := range []float64{2, 6.5, 11} {
				sent := sendToCold(ids, known, rate, 20*time.Second)
				allowed := int(tolerance*rate) + slack
				if got := maxInWindow(sent, time.Second-time.Millisecond); got > allowed {
					t.Errorf("%d nodes, %s, cold rate %v: %d requests in a second, want at most %d", nodes, view, rate, got, allowed)
				}
				if want := int(0.1 * rate * 20); len(sent) < want {
					t.Errorf("%d nodes, %s, cold rate %v: %d requests in 20 s, want at least %d", nodes, view, rate, len(sent), want)
				}
			}
		}
	}
}

// sendToCold returns when nodes sent to the upstream "u", each as often as its share allows.
func sendToCold(ids []domain.NodeID, known func(int) []domain.NodeID, rate float64, length time.Duration) []time.Duration {
	start := time.Unix(1000, 0)
	pacers := make([]sharedbounds.Pacer, len(ids))
	var sent []time.Duration
	for at := time.Duration(0); at < length; at += 5 * time.Millisecond {
		now := start.Add(at)
		for i := range ids {
			share := sharedbounds.ColdRate(len(known(i)), rate)
			if at == 0 {
				pacers[i].Delay(now, share, sharedbounds.ColdPhase(ids[i], known(i), "u"))
			}
			if pacers[i].Ready(now, share) {
				pacers[i].Record(now, share)
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// mostOf returns two thirds of the members and node i.
func mostOf(ids []domain.NodeID, i int) []domain.NodeID {
	return slices.DeleteFunc(slices.Clone(ids), func(id domain.NodeID) bool {
		j := slices.Index(ids, id)
		return j != i && (i+j)%3 == 1
	})
}

// halfKnown returns all members for every second node, and half of them for the others.
func halfKnown(ids []domain.NodeID, i int) []domain.NodeID {
	if i%2 == 0 {
		return ids
	}
	return half(ids, i)
}

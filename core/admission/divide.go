package admission

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/domain"
)

// claim is what one party, a node or a failure domain, asks of a limit.
type claim struct {
	party domain.NodeID
	// nodes is the number of nodes behind the party.
	nodes  int
	demand float64
	// held is what the party uses now, which may be above its share.
	held float64
}

// divide splits limit among claims and returns a share for each. Every party
// gets what it asks for up to an equal part of the limit per node of the fleet;
// the rest goes by what they ask beyond that, or by demand if nobody does. What a
// party still holds above its share is taken from the others until it ends. The
// shares sum up to at most limit. A share never grows with another's demand.
func divide(limit float64, nodes int, claims []claim) []float64 {
	shares := make([]float64, len(claims))
	part := limit / float64(max(nodes, 1))
	rest, beyond, demand := limit, 0.0, 0.0
	for i, c := range claims {
		equal := part * float64(c.nodes)
		shares[i] = min(c.demand, equal)
		rest -= shares[i]
		beyond += max(c.demand-equal, 0)
		demand += c.demand
	}
	for i, c := range claims {
		switch {
		case beyond > 0:
			shares[i] += rest * max(c.demand-part*float64(c.nodes), 0) / beyond
		case demand > 0:
			shares[i] += rest * c.demand / demand
		}
	}
	yield(shares, claims)
	return shares
}

// yield takes what parties hold above their shares from the others' shares. One
// request a node is left out: it may go on from the party's last turn, and the turn
// of one must not wait for the end of the other's requests.
func yield(shares []float64, claims []claim) {
	excess, within := 0.0, 0.0
	for i, c := range claims {
		if over := c.over(shares[i]); over > 0 {
			excess += over
		} else {
			within += shares[i]
		}
	}
	if excess <= 0 || within <= 0 {
		return
	}
	keep := max(1-excess/within, 0)
	for i, c := range claims {
		if c.over(shares[i]) <= 0 {
			shares[i] *= keep
		}
	}
}

// over returns how much the party holds above its share.
func (c *claim) over(share float64) float64 {
	return c.held - math.Ceil(share-rounding) - float64(c.nodes)
}

// OvershootBound is the most requests of a customer that may be in flight at once
// in a fleet of that many nodes, whose demands change as they like: the divided
// limit, and for each level that divides, failure domain and node, what may be
// used before a demand has spread. Shares of settled demands sum up to at most the
// limit; one request a node may go on from a former share.
func OvershootBound(limit, nodes int) int {
	return limit + 2*max(limit, nodes, nodes*limit/earlyNodes)
}

// rounding absorbs the error of adding shares up.
const rounding = 1e-9

// whole rounds shares to whole numbers with the same sum, rounded down. What
// remains goes by one each to parties with a fraction, in an order that changes
// with turn, so that each of them has it in turn.
func whole(shares []float64, claims []claim, key string, turn int64) []int {
	out := make([]int, len(shares))
	sum, given := 0.0, 0
	var waiting []int
	for i, s := range shares {
		out[i] = int(s + rounding)
		given += out[i]
		sum += s
		if s-math.Floor(s+rounding) > rounding {
			waiting = append(waiting, i)
		}
	}
	spare := min(len(waiting), max(int(sum+rounding)-given, 0))
	slices.SortFunc(waiting, func(a, b int) int {
		return cmp.Compare(rank(claims[a].party, key), rank(claims[b].party, key))
	})
	for n := range spare {
		out[waiting[(int(turn%int64(len(waiting)))*spare+n)%len(waiting)]]++
	}
	return out
}

func rank(party domain.NodeID, key string) uint64 {
	return xxhash.Sum64String(string(party) + "\x00" + key)
}

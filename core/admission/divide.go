package admission

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/domain"
)

// claim is the demand of one party, a node or a failure domain, for a limit.
type claim struct {
	party domain.NodeID
	// nodes is the number of nodes of the party.
	nodes  int
	demand float64
	// inUse is what the party uses now, which may exceed its share.
	inUse float64
}

// divide splits limit among claims and returns a share for each. nodes is the number of
// nodes of the fleet. Each party receives its demand up to its nodes' equal share of the
// limit. The remainder is divided in proportion to the demand beyond that, or in
// proportion to the whole demand if no party exceeds its equal share. What a party still
// uses above its share is deducted from the others' shares until those requests end. The
// sum of the shares is at most limit. A share never grows when another party's demand
// grows.
func divide(limit float64, nodes int, claims []claim) []float64 {
	shares := make([]float64, len(claims))
	equalShare := limit / float64(max(nodes, 1))
	remaining, excessDemand, demand := limit, 0.0, 0.0
	for i, c := range claims {
		equal := equalShare * float64(c.nodes)
		shares[i] = min(c.demand, equal)
		remaining -= shares[i]
		excessDemand += max(c.demand-equal, 0)
		demand += c.demand
	}
	for i, c := range claims {
		switch {
		case excessDemand > 0:
			shares[i] += remaining * max(c.demand-equalShare*float64(c.nodes), 0) / excessDemand
		case demand > 0:
			shares[i] += remaining * c.demand / demand
		}
	}
	deductExcess(shares, claims)
	return shares
}

// deductExcess deducts what parties use above their shares from the others' shares. One
// request per node is exempt: it may still run from the party's previous turn, and a
// party's turn must not depend on the end of another's requests.
func deductExcess(shares []float64, claims []claim) {
	totalExcess, sumWithin := 0.0, 0.0
	for i, c := range claims {
		if over := c.excess(shares[i]); over > 0 {
			totalExcess += over
		} else {
			sumWithin += shares[i]
		}
	}
	if totalExcess <= 0 || sumWithin <= 0 {
		return
	}
	scale := max(1-totalExcess/sumWithin, 0)
	for i, c := range claims {
		if c.excess(shares[i]) <= 0 {
			shares[i] *= scale
		}
	}
}

// excess returns how much the party uses above the sum of its share, rounded up, and one
// request per node.
func (c *claim) excess(share float64) float64 {
	return c.inUse - math.Ceil(share-roundingTolerance) - float64(c.nodes)
}

// OvershootBound returns the maximum number of a customer's requests in flight at once
// in a fleet of that many nodes under arbitrary changes of demand. It is the limit plus,
// for each of the two levels of division (failure domain and node), what may be used
// before a new demand has reached all nodes. Shares of settled demands add up to at most
// the limit; one request per node may still run under an earlier share.
func OvershootBound(limit, nodes int) int {
	return limit + 2*max(limit, nodes, nodes*limit/unsettledDivisor)
}

// roundingTolerance absorbs the floating-point error of adding shares.
const roundingTolerance = 1e-9

// roundShares rounds shares to integers whose sum is the sum of the shares rounded down.
// The remaining units are assigned, one each, to parties with a fractional share. The
// order of these parties rotates with turn, so that each of them receives a unit in turn.
func roundShares(shares []float64, claims []claim, key string, turn int64) []int {
	out := make([]int, len(shares))
	sum, assigned := 0.0, 0
	var fractional []int
	for i, s := range shares {
		out[i] = int(s + roundingTolerance)
		assigned += out[i]
		sum += s
		if s-math.Floor(s+roundingTolerance) > roundingTolerance {
			fractional = append(fractional, i)
		}
	}
	remaining := min(len(fractional), max(int(sum+roundingTolerance)-assigned, 0))
	slices.SortFunc(fractional, func(a, b int) int {
		return cmp.Compare(rank(claims[a].party, key), rank(claims[b].party, key))
	})
	for n := range remaining {
		out[fractional[(int(turn%int64(len(fractional)))*remaining+n)%len(fractional)]]++
	}
	return out
}

func rank(party domain.NodeID, key string) uint64 {
	return xxhash.Sum64String(string(party) + "\x00" + key)
}

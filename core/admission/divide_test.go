package admission

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocusspread/crocusspread/core/domain"
)

func claims(demands ...float64) []claim {
	out := make([]claim, len(demands))
	for i, d := range demands {
		out[i] = claim{party: domain.NodeID(fmt.Sprintf("n%d", i)), nodes: 1, demand: d}
	}
	return out
}

func TestDivide(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  float64
		nodes  int
		claims []claim
		want   []float64
	}{
		{"one node has demand", 12, 3, claims(5, 0, 0), []float64{12, 0, 0}},
		{"in proportion beyond the equal share", 12, 3, claims(12, 8, 0), []float64{4 + 4*8./12, 4 + 4*4./12, 0}},
		{"a small demand is met in full", 12, 3, claims(1, 100, 100), []float64{1, 5.5, 5.5}},
		{"no demand", 12, 3, claims(0, 0, 0), []float64{0, 0, 0}},
		{"use above the share is deducted from others", 10, 2, []claim{{party: "a", nodes: 1, demand: 10, inUse: 9}, {party: "b", nodes: 1, demand: 10}}, []float64{5, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i, got := range divide(c.limit, c.nodes, c.claims) {
				if math.Abs(got-c.want[i]) > roundingTolerance {
					t.Errorf("party %d: got share %v, want %v", i, got, c.want[i])
				}
			}
		})
	}
}

func drawClaims(t *rapid.T) []claim {
	out := claims(make([]float64, rapid.IntRange(1, 9).Draw(t, "parties"))...)
	for i := range out {
		out[i].demand = float64(rapid.IntRange(0, 40).Draw(t, "demand"))
		out[i].inUse = float64(rapid.IntRange(0, 20).Draw(t, "held"))
	}
	return out
}

func TestSharesNeverAddUpToMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := drawClaims(t)
		limit := rapid.IntRange(1, 50).Draw(t, "limit")
		shares := divide(float64(limit), len(cs), cs)
		sum, count := 0.0, 0
		for _, s := range shares {
			sum += s
		}
		for _, n := range roundShares(shares, cs, "c", rapid.Int64Range(0, 1000).Draw(t, "turn")) {
			count += n
		}
		if sum > float64(limit)+roundingTolerance || count > limit {
			t.Fatalf("shares %v add up to %v, rounded ones to %d, want at most %d", shares, sum, count, limit)
		}
	})
}

func TestShareNeverGrowsWithAnothersDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := drawClaims(t)
		for i := range cs {
			cs[i].inUse = 0
		}
		limit := float64(rapid.IntRange(1, 50).Draw(t, "limit"))
		before := divide(limit, len(cs), cs)
		other := rapid.IntRange(0, len(cs)-1).Draw(t, "other")
		cs[other].demand += float64(rapid.IntRange(1, 40).Draw(t, "more"))
		after := divide(limit, len(cs), cs)
		for i := range cs {
			if i != other && after[i] > before[i]+roundingTolerance || i == other && after[i] < before[i]-roundingTolerance {
				t.Fatalf("party %d: share went from %v to %v when the demand of party %d grew", i, before[i], after[i], other)
			}
		}
	})
}

func TestIndivisibleUnitsRotateAmongParties(t *testing.T) {
	cs := claims(1, 1, 1, 1, 1, 1, 1, 1, 1)
	shares := divide(3, 9, cs)
	turns := make([]int, len(cs))
	for turn := range int64(9) {
		sum := 0
		for i, n := range roundShares(shares, cs, "c", turn) {
			turns[i] += n
			sum += n
		}
		if sum != 3 {
			t.Fatalf("turn %d: got %d units, want 3", turn, sum)
		}
	}
	for i, n := range turns {
		if n != 3 {
			t.Errorf("party %d: got a unit in %d of 9 turns, want 3", i, n)
		}
	}
}

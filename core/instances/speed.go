package instances

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	// slowdownHalfLife is the half-life of the weight of a stated slowdown: an upstream is slow for
	// about 600 ms at a time.
	slowdownHalfLife = 300 * time.Millisecond
	// maxSpeedAge is the maximum age of a statement that other nodes are told: an older one has
	// less than a quarter of its weight.
	maxSpeedAge = 2 * slowdownHalfLife
	// maxSpeeds is the maximum number of slowdowns in one message, about 250 bytes. Those that
	// differ most from the usual speed come first.
	maxSpeeds = 1
	// minSlowdown and maxSlowdown bound the slowdowns that count; others are ignored.
	minSlowdown = 0.1
	maxSlowdown = 100
	// minSpeedDeviation is the difference from the usual speed from which other nodes are told a
	// slowdown: a smaller one changes no decision.
	minSpeedDeviation = 0.1
)

// slowdown is the duration of work at an upstream relative to the usual one, as the upstream
// stated it.
type slowdown struct {
	ratio float64
	// statedAt is zero if the upstream has stated none.
	statedAt time.Time
}

// at returns the expected slowdown at now. As the statement ages, it converges to 1. With the mean of the
// pool instead, upstreams of unknown speed looked slower than one that had just stated the usual
// speed, so that each node sent to the one that answered it last; and those that were avoided kept the
// mean high, as nothing told that they had become fast.
func (s *slowdown) at(now time.Time) float64 {
	if s.statedAt.IsZero() {
		return 1
	}
	age := now.Sub(s.statedAt)
	if age <= 0 {
		return s.ratio
	}
	return 1 + (s.ratio-1)*math.Exp2(-float64(age)/float64(slowdownHalfLife))
}

// recordSlowdown records a statement of an upstream, unless a later one is known. A ratio outside of
// the permitted range, in particular zero, states nothing.
func (p *Pool) recordSlowdown(u *upstream, ratio float64, statedAt time.Time) {
	if !(ratio >= minSlowdown && ratio <= maxSlowdown) || !statedAt.After(u.slowdown.statedAt) {
		return
	}
	u.slowdown = slowdown{ratio, statedAt}
	p.speedsStated = p.speedsStated || ratio != 1
}

// prefillRateAt returns the expected prefill rate of an upstream in tokens per millisecond.
func (p *Pool) prefillRateAt(now time.Time, u *upstream) float64 {
	return p.prefillRate.tokensPerMS / u.slowdown.at(now)
}

// Speed tells the other nodes of the region of a slowdown that an upstream stated.
type Speed struct {
	Service  string
	Instance domain.UpstreamID
	// Slowdown is the duration of work relative to the usual one.
	Slowdown float64
	// Age is the time since the upstream stated it to some node.
	Age time.Duration
}

// Speeds returns the recently stated slowdowns that differ most from the usual speed, at most
// maxSpeeds of them.
func (c *Catalog) Speeds(now time.Time) []Speed {
	type weighted struct {
		Speed
		weight float64
	}
	var list []weighted
	c.ForEach(func(p *Pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.speedsStated {
			return
		}
		for _, u := range p.upstreams {
			age := now.Sub(u.slowdown.statedAt)
			deviation := math.Abs(u.slowdown.at(now) - 1)
			if u.slowdown.statedAt.IsZero() || age > maxSpeedAge || deviation < minSpeedDeviation {
				continue
			}
			list = append(list, weighted{Speed{p.service, u.ID, u.slowdown.ratio, max(0, age)}, deviation})
		}
	})
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Instance, b.Instance))
	})
	var speeds []Speed
	for _, w := range list[:min(maxSpeeds, len(list))] {
		speeds = append(speeds, w.Speed)
	}
	return speeds
}

// ApplySpeeds adopts slowdowns received from another node that upstreams stated later than those
// known here.
func (c *Catalog) ApplySpeeds(now time.Time, speeds []Speed) {
	for _, s := range speeds {
		p := c.Pool(s.Service)
		p.mu.Lock()
		if u := p.find(s.Instance); u != nil {
			p.recordSlowdown(u, s.Slowdown, now.Add(-max(0, s.Age)))
		}
		p.mu.Unlock()
	}
}

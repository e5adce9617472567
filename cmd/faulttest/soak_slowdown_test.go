package faulttest

import (
	"math/rand/v2"
	"time"
)

// In a share of the periods, in percent, work at an upstream takes slowPercent of the usual
// duration.
const (
	slowPeriod  = 600 * time.Millisecond
	slowShare   = 15
	slowPercent = 250
	// slowSequence is the random sequence of the first upstream's slow periods.
	slowSequence = 2000
)

// soakSlowdown returns how long work takes at an upstream, in hundredths of the usual duration. It
// depends only on the seed, the upstream and the time since the call.
func soakSlowdown(seed uint64, upstream int) func(time.Time) int {
	started := time.Now()
	return func(now time.Time) int {
		period := uint64(max(0, now.Sub(started)) / slowPeriod)
		rng := rand.New(rand.NewPCG(seed, (slowSequence+uint64(upstream))<<32+period))
		if rng.IntN(100) < slowShare {
			return slowPercent
		}
		return 100
	}
}

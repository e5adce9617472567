package routing

import "time"

// Gate sends requests to other failure domains only for a predicted gain.
type Gate struct {
	// Threshold is the gain in score above which the best other domain is taken
	// over the best own upstream.
	Threshold time.Duration
}

// sendAway tells if a gain, in seconds, is worth sending away.
func (g Gate) sendAway(gain float64) bool { return gain > g.Threshold.Seconds() }

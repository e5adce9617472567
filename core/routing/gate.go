package routing

import "time"

// Gate allows a request to be forwarded to a remote failure domain only if the
// predicted gain exceeds a threshold.
type Gate struct {
	// Threshold is the gain in score above which the best remote domain is chosen
	// instead of the best local upstream.
	Threshold time.Duration
}

// shouldForward reports whether a gain in seconds justifies forwarding.
func (g Gate) shouldForward(gain float64) bool { return gain > g.Threshold.Seconds() }

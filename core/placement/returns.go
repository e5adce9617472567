package placement

import "time"

const (
	// minReturn is the shortest wait that a refusal advises: a backlog needs
	// about that long to change.
	minReturn = 300 * time.Millisecond
	// unknownReturn is advised where no place is known at all.
	unknownReturn = time.Second
	// returnSpread is the share by which advised waits differ, so that refused
	// callers do not return together.
	returnSpread = 0.5
)

// ReturnAfter advises a refused caller when to come back: once the backlog that
// stood in its way is expected to be gone. Draw is uniform in [0, 1).
func ReturnAfter(expected, objective time.Duration, draw float64) time.Duration {
	base := unknownReturn
	if expected > 0 {
		base = max(minReturn, expected-objective/2)
	}
	factor := 1 - returnSpread/2 + returnSpread*draw
	return time.Duration(factor * float64(base))
}

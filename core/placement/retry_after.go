package placement

import "time"

const (
	// minRetryAfter is the shortest delay that a refusal returns: a backlog takes
	// about that long to change.
	minRetryAfter = 300 * time.Millisecond
	// defaultRetryAfter is returned if the expected delay is unknown.
	defaultRetryAfter = time.Second
	// retryAfterJitter is the width of the jitter relative to the delay. It keeps
	// refused callers from retrying at the same time.
	retryAfterJitter = 0.5
)

// RetryAfter returns the delay after which a refused caller should retry: the
// time until the backlog is expected to allow the request, with jitter. The
// random number is uniformly distributed in [0, 1).
func RetryAfter(expected, objective time.Duration, random float64) time.Duration {
	base := defaultRetryAfter
	if expected > 0 {
		base = max(minRetryAfter, expected-objective/2)
	}
	factor := 1 - retryAfterJitter/2 + retryAfterJitter*random
	return time.Duration(factor * float64(base))
}

// silenceSpread is the time over which callers that wait for the end of a silence are spread.
const silenceSpread = time.Second

// AfterSilence returns the delay after which a caller should retry whose upstreams want no requests for
// the given time. The random number is uniformly distributed in [0, 1).
func AfterSilence(silence time.Duration, random float64) time.Duration {
	return silence + time.Duration(random*float64(silenceSpread))
}

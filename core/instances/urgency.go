package instances

// priorities is the number of priorities at model engines; 0 is the highest.
const priorities = 10

func clampPriority(p int) int { return min(priorities-1, max(0, p)) }

// lessUrgent returns the number of this node's requests at the upstream that have a lower
// priority than the given one.
func (u *upstream) lessUrgent(priority int) float64 {
	n := 0
	for _, count := range u.inFlightByPriority[clampPriority(priority)+1:] {
		n += count
	}
	return float64(n)
}

// urgencyMix estimates how the slots of a pool are divided among priorities, from the
// requests that this node placed there. Upstreams report only how many requests they run
// for all nodes, and all nodes get the same mix of requests.
type urgencyMix struct {
	// tokens is the recent number of output tokens by priority, which a request's slot
	// time is about proportional to.
	tokens [priorities]float64
	total  float64
}

// urgencyGain is the weight of one request in the mix.
const urgencyGain = 0.01

func (m *urgencyMix) record(priority, outputTokens int) {
	for i := range m.tokens {
		m.tokens[i] *= 1 - urgencyGain
	}
	n := float64(max(1, outputTokens))
	m.tokens[clampPriority(priority)] += n
	m.total = m.total*(1-urgencyGain) + n
}

// shareUpTo returns the share of requests with the given or a higher priority; 1 if
// nothing is known.
func (m *urgencyMix) shareUpTo(priority int) float64 {
	if m.total == 0 {
		return 1
	}
	sum := 0.0
	for _, n := range m.tokens[:clampPriority(priority)+1] {
		sum += n
	}
	return min(1, sum/m.total)
}

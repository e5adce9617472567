package instances

import "time"

// maxSilence is the longest time for which an upstream is left alone at its own request.
const maxSilence = 10 * time.Minute

// silence is the time for which an upstream asked this node for no requests.
type silence struct {
	until time.Time
	// resuming is set until a request that was sent after that time is answered: until then there is
	// one at a time, so that the end of the silence lets no burst through.
	resuming bool
	// trying is set while that request is in flight.
	trying bool
}

func (s *silence) silent(now time.Time) bool { return s.resuming && (s.trying || now.Before(s.until)) }

// ask records that the upstream asked for no requests for a time. Of several times the latest end holds.
func (s *silence) ask(now time.Time, d time.Duration) {
	if until := now.Add(min(d, maxSilence)); until.After(s.until) {
		s.until = until
	}
	s.resuming, s.trying = true, false
}

// send records that a request is sent, and reports whether it is the one that ends the silence.
func (s *silence) send() (trial bool) {
	if !s.resuming {
		return false
	}
	s.trying = true
	return true
}

// answered records the end of the request that ends the silence.
func (s *silence) answered(now time.Time, ok bool) {
	s.trying = false
	if ok && !now.Before(s.until) {
		s.resuming = false
	}
}

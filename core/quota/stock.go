package quota

import "time"

// lot is a number of tokens that may be used until a time.
type lot struct {
	tokens float64
	until  time.Duration
}

// maxLots is the maximum number of lots in a stock. Draws of a node are at least
// MinDrawInterval apart, and few lots of a second matter at a time.
const maxLots = 8

// stock holds lots in the order in which they lapse.
type stock struct {
	lots [maxLots]lot
	n    int
}

// expire removes the lots that lapse by a time.
func (s *stock) expire(by time.Duration) {
	lapsed := 0
	for lapsed < s.n && s.lots[lapsed].until <= by {
		lapsed++
	}
	if lapsed > 0 {
		s.n = copy(s.lots[:], s.lots[lapsed:s.n])
	}
}

func (s *stock) total() float64 {
	sum := 0.0
	for _, l := range s.lots[:s.n] {
		sum += l.tokens
	}
	return sum
}

// add adds tokens. If there is no room for another lot, they lapse with the last one.
func (s *stock) add(tokens float64, until time.Duration) {
	if tokens <= 0 {
		return
	}
	if s.n == maxLots {
		last := &s.lots[s.n-1]
		last.tokens, last.until = last.tokens+tokens, min(last.until, until)
		for i := s.n - 1; i > 0 && s.lots[i].until < s.lots[i-1].until; i-- {
			s.lots[i], s.lots[i-1] = s.lots[i-1], s.lots[i]
		}
		return
	}
	i := s.n
	for ; i > 0 && s.lots[i-1].until > until; i-- {
		s.lots[i] = s.lots[i-1]
	}
	s.lots[i] = lot{tokens, until}
	s.n++
}

// take removes tokens, those first that lapse first. It returns when the first of them lapse,
// and false if there are too few.
func (s *stock) take(tokens float64) (until time.Duration, ok bool) {
	if s.n == 0 || s.total() < tokens {
		return 0, false
	}
	until = s.lots[0].until
	used := 0
	for tokens > 0 {
		l := &s.lots[used]
		if l.tokens > tokens {
			l.tokens -= tokens
			break
		}
		tokens -= l.tokens
		used++
	}
	s.n = copy(s.lots[:], s.lots[used:s.n])
	return until, true
}

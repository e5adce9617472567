package quarantine

import "time"

// maxRecentAnswers is the maximum number of parts in one generation of recentAnswers,
// about 200 kB.
const maxRecentAnswers = 4096

// recentAnswers holds when parts were last answered, in two generations: once the current
// one is full, it replaces the previous one.
type recentAnswers struct {
	current, previous map[uint64]time.Time
}

func (r *recentAnswers) record(at time.Time, id uint64) {
	if r.current == nil || len(r.current) >= maxRecentAnswers {
		r.current, r.previous = make(map[uint64]time.Time), r.current
	}
	r.current[id] = at
}

// lastAnswer returns when a part was last answered; zero if that is not known.
func (r *recentAnswers) lastAnswer(id uint64) time.Time {
	if at, ok := r.current[id]; ok {
		return at
	}
	return r.previous[id]
}

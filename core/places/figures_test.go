package places_test

import (
	"fmt"
	"time"
)

// figures are what callers and upstreams get. Indexes are kinds.
type figures struct {
	arrived, inTime, answered, refused [2]int
	byAccount, servedByAccount         map[string]int
	sent, rejected, crossed, ran       int

	worth          float64
	longestRefusal time.Duration
}

func (f *figures) total() (arrived, answered, refused, inTime int) {
	return f.arrived[0] + f.arrived[1], f.answered[0] + f.answered[1], f.refused[0] + f.refused[1], f.inTime[0] + f.inTime[1]
}

func (f *figures) String() string {
	arrived, answered, refused, inTime := f.total()
	return fmt.Sprintf("arrived %d, answered %d, in time %d, refused %d, worth %.3f; by kind %.2f/%.2f in time; ran %d, rejected by upstreams %d of %d, crossed %d; longest refusal %v",
		arrived, answered, inTime, refused, f.worth/float64(arrived),
		float64(f.inTime[0])/float64(f.arrived[0]), float64(f.inTime[1])/float64(f.arrived[1]), f.ran, f.rejected, f.sent, f.crossed, f.longestRefusal)
}

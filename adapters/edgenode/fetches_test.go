package edgenode

import (
	"testing"
	"time"
)

func TestFetchThatIsNotAnsweredDoesNotHoldUpOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	var f fetches
	for i, c := range []struct {
		at      time.Duration
		address string
		ends    bool // the fetch from the address ends instead
		want    bool
	}{
		{0, "a", false, true},
		{fetchHedgeDelay - 1, "b", false, false},
		{fetchHedgeDelay, "a", false, false},
		{fetchHedgeDelay, "b", false, true},
		{fetchHedgeDelay + 1, "c", false, false},
		{2 * fetchHedgeDelay, "c", false, true},
		{9 * fetchHedgeDelay, "d", false, false},
		{9 * fetchHedgeDelay, "b", true, false},
		{9 * fetchHedgeDelay, "b", false, true},
	} {
		if c.ends {
			f.end(c.address)
			continue
		}
		if got := f.admit(now.Add(c.at), c.address); got != c.want {
			t.Errorf("step %d: fetch from %s after %v admitted: %v, want %v", i, c.address, c.at, got, c.want)
		}
	}
}

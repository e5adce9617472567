package membership

import "cmp"

// maxRelays is how often a change is passed on before it only takes its turn.
const maxRelays = 4

// turn orders items for a bounded message: those passed on less than maxRelays
// times since they changed go first, then the one passed on longest ago.
type turn struct {
	relays int
	last   uint64
}

// taken notes that the item was passed on as the count-th of all.
func (t *turn) taken(count uint64) {
	t.relays = min(t.relays+1, maxRelays)
	t.last = count
}

func (t turn) compare(other turn) int {
	if c := cmp.Compare(t.relays, other.relays); c != 0 {
		return c
	}
	return cmp.Compare(t.last, other.last)
}

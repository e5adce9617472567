package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
)

// TestMissingEntryIsTakenForLapsedOnlyIfTheStoreWasAway: the calls of the node fail from the start on. Times
// are in milliseconds.
func TestMissingEntryIsTakenForLapsedOnlyIfTheStoreWasAway(t *testing.T) {
	for name, c := range map[string]struct {
		before  []int // confirmations with the entry
		missing int   // the first one without it
		after   []int
		restore int // the node's own calls succeed again; zero for never
		copyAt  int // the store comes back from an older copy; zero for never
		inUse   map[int]bool
	}{
		"others were answered all the while":                              {before: []int{0, 1000, 2000, 3000}, missing: 4000, inUse: map[int]bool{4000: false}},
		"the store was away":                                              {before: []int{0, 1000, 2000, 3000}, missing: 6100, after: []int{7100, 8100, 8500}, inUse: map[int]bool{6100: true, 8500: true, 8600: true}},
		"the store has been back for long enough, confirmed to others":    {before: []int{0, 1000}, missing: 6100, after: []int{7100, 8100, 8600}, inUse: map[int]bool{8100: true, 8600: false}},
		"nothing is heard after the return":                               {before: []int{0, 1000}, missing: 6100, inUse: map[int]bool{6100: true, 60000: true}},
		"the node's own calls succeed again after the store was away":     {before: []int{0, 1000}, missing: 6100, restore: 6000, inUse: map[int]bool{6100: true, 8400: true, 8500: false}},
		"the node's own calls succeed again, others were answered":        {before: []int{0, 1000, 2000, 3000, 4000, 5000}, missing: 6100, restore: 6000, inUse: map[int]bool{6100: false}},
		"the store came back from a copy that it gave others before":      {before: []int{0, 1000, 2000, 3000}, copyAt: 3500, missing: 3600, after: []int{4500, 5500}, inUse: map[int]bool{3600: true, 5500: true}},
		"an entry that is missing long after the return was removed then": {before: []int{0, 1000, 6100, 7100, 8100, 8700}, missing: 9700, inUse: map[int]bool{9700: false}},
	} {
		t.Run(name, func(t *testing.T) {
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			cat := newCatalog(t, instances.Options{MissingGrace: 2500 * time.Millisecond}, "a", "b")
			cat.MarkStoreUnavailable()
			for _, ms := range c.before {
				cat.ConfirmEntries(at(ms), at(ms))
			}
			if c.copyAt > 0 {
				cat.MarkStoreRestored(at(c.copyAt))
			}
			if c.restore > 0 {
				cat.MarkStoreAvailable(at(c.restore))
			}
			cat.Replace(at(c.missing), []instances.Instance{newInstance("b")})
			cat.RemoveExpired(at(c.missing)) // may come before the confirmation
			if !receivesRequest(cat, at(c.missing), "a") {
				t.Error("removed before the missing entry was confirmed")
			}
			cat.ConfirmEntries(at(c.missing), at(c.missing))
			after := c.after
			for ms := c.missing; ms <= 60000; ms += 100 {
				for len(after) > 0 && after[0] <= ms {
					cat.ConfirmEntries(at(ms), at(after[0]))
					after = after[1:]
				}
				cat.RemoveExpired(at(ms))
				want, checked := c.inUse[ms]
				if got := receivesRequest(cat, at(ms), "a"); checked && got != want {
					t.Errorf("in use is %v at %d ms, want %v", got, ms, want)
				}
			}
		})
	}
}

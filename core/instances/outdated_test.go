package instances

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// TestOlderEntriesAreIgnored applies entries in order; an instance is in use while it is
// registered and not leaving.
func TestOlderEntriesAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	type step struct {
		started  int64
		sequence uint64
		leaving  bool
		removed  bool
		after    time.Duration // since the step before
		inUse    bool
	}
	for name, steps := range map[string][]step{
		"leaving, then ready from an older copy":     {{started: 1, sequence: 3, inUse: true}, {started: 1, sequence: 9, leaving: true}, {started: 1, sequence: 3}, {started: 1, sequence: 10, inUse: true}},
		"removed, then listed from an older copy":    {{started: 1, sequence: 3, inUse: true}, {removed: true}, {started: 1, sequence: 3}, {started: 1, sequence: 2}, {started: 1, sequence: 4, inUse: true}},
		"restarted, then the former process":         {{started: 1, sequence: 9, inUse: true}, {started: 2, sequence: 1, inUse: true}, {started: 1, sequence: 9, leaving: true, inUse: true}},
		"restarted twice, then the first process":    {{started: 1, sequence: 9, inUse: true}, {started: 2, sequence: 1, inUse: true}, {started: 3, sequence: 1, inUse: true}, {started: 1, sequence: 9, leaving: true, inUse: true}},
		"restarted with a start time that went back": {{started: 5, sequence: 9, inUse: true}, {started: 4, sequence: 1, inUse: true}, {started: 4, sequence: 2, leaving: true}},
		"the same entry listed again":                {{started: 1, sequence: 3, inUse: true}, {started: 1, sequence: 3, inUse: true}},
		"entries without sequence":                   {{started: 1, inUse: true}, {started: 1, leaving: true}, {removed: true}, {started: 1, inUse: true}},
		"removed long ago":                           {{started: 1, sequence: 3, inUse: true}, {removed: true}, {started: 1, sequence: 3, after: removedRetention, inUse: true}},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCatalog(Options{})
			at := now
			for i, s := range steps {
				at = at.Add(s.after)
				c.RemoveExpired(at)
				if s.removed {
					c.Remove(at, "u1")
				} else {
					c.Put(at, Instance{ID: "u1", Service: "app", Started: s.started, Sequence: s.sequence, Leaving: s.leaving, Place: domain.Place{Region: "west"}})
				}
				u := c.Pool("app").find("u1")
				if inUse := u != nil && !u.Leaving; inUse != s.inUse {
					t.Errorf("after step %d: in use is %v, want %v", i, inUse, s.inUse)
				}
			}
		})
	}
}

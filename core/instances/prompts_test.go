package instances

import (
	"testing"
	"time"
)

// The order of a prompt's holders does not follow their use: an entry is refreshed in
// place.
func TestPromptInUseIsNotEvictedAsExpired(t *testing.T) {
	p := make(prompts)
	begin := time.Unix(1_000_000, 0)
	p.record(begin, 1, "first")
	p.record(begin, 1, "second")
	later := begin.Add(promptRetention + time.Second)
	p.record(later, 1, "first") // "second" remains last in the list
	for key := uint64(2); len(p) < maxPrompts; key++ {
		p.record(begin, key, "other")
	}
	p.record(later, maxPrompts+10, "new")
	if !p.mayBeCached(later, 1, "first") {
		t.Error("a prompt in use was evicted while expired ones were retained")
	}
	if len(p) > 10 {
		t.Errorf("got %d prompts retained, want only those in use", len(p))
	}
}

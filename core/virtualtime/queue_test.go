package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// TestActionsRunInOrder guards against simulations whose results depend on the order of a heap's
// equal elements.
func TestActionsRunInOrder(t *testing.T) {
	var q Queue
	var got []int
	for i, at := range []time.Duration{3, 1, 2, 1, 3, 1} {
		q.Add(at, func() { got = append(got, i) })
	}
	for at, do, ok := q.Next(2); ok; at, do, ok = q.Next(2) {
		if at > 2 {
			t.Errorf("got an action that is due at %d, want none after 2", at)
		}
		do()
	}
	if want := []int{1, 3, 5, 2}; !slices.Equal(got, want) {
		t.Errorf("got the order %v, want %v", got, want)
	}
}

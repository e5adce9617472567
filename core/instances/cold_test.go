package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
)

// newCold returns an instance whose entry says that it is cold for a time.
func newCold(remaining time.Duration) instances.Instance {
	in := newInstance("a")
	in.ColdRemaining = remaining
	return in
}

// countPlaced returns how many of n requests are placed.
func countPlaced(c *instances.Catalog, now time.Time, n int) int {
	placed := 0
	for range n {
		if t := placeRequest(c, now); t != nil {
			placed++
			defer t.Done(now, instances.Canceled)
		}
	}
	return placed
}

func TestColdUpstreamThatRegistersAgainKeepsItsPace(t *testing.T) {
	for name, change := range map[string]func(c *instances.Catalog, now time.Time, n int){
		"removed and registered": func(c *instances.Catalog, now time.Time, _ int) {
			c.Remove(now, "a")
			c.Put(now, newCold(3*time.Second))
		},
		"started again under its ID": func(c *instances.Catalog, now time.Time, n int) {
			in := newCold(3 * time.Second)
			in.Started = int64(n)
			c.Put(now, in)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCatalog(t, instances.Options{})
			c.Put(start, newCold(3*time.Second))
			placed := 0
			for n := range 10 {
				now := start.Add(time.Duration(n) * 100 * time.Millisecond)
				change(c, now, n+1)
				placed += countPlaced(c, now, 4)
			}
			if placed > 3 {
				t.Errorf("%d requests in a second were placed on a cold upstream with a rate of 2 a second, want at most 3", placed)
			}
		})
	}
}

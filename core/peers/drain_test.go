package peers_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/peers"
)

func TestDrainingNodeAcceptsOnlyWhatItCanFinish(t *testing.T) {
	d := peers.Drain{StartedAt: start, EndsAt: start.Add(7600 * time.Millisecond)}
	for _, c := range []struct {
		name              string
		arrives, duration time.Duration
		want              bool
	}{
		{"long request at the beginning", 0, 12 * time.Second, true},
		{"long request sent by a caller with a cached directory response", 2800 * time.Millisecond, 12 * time.Second, true},
		{"long request afterwards", 3 * time.Second, 12 * time.Second, false},
		{"short request afterwards", 3 * time.Second, 2 * time.Second, true},
		{"short request that may end after the node", 6 * time.Second, 2 * time.Second, false},
	} {
		now := start.Add(c.arrives)
		deadline, got := d.Accept(now, now.Add(c.duration))
		if got != c.want {
			t.Errorf("%s: accepted %v, want %v", c.name, got, c.want)
		}
		if got && !deadline.Before(d.EndsAt) {
			t.Errorf("%s: its deadline is %v after the start of the drain, want one before the end after %v", c.name, deadline.Sub(start), d.EndsAt.Sub(start))
		}
		if limit := now.Add(c.duration); got && limit.Before(d.LastAnswersAt()) && !deadline.Equal(limit) {
			t.Errorf("%s: its deadline is %v after its arrival, want %v as requested", c.name, deadline.Sub(now), c.duration)
		}
	}
}

package peers_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
)

func TestMajorityOfRegionIsReached(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		heard, silent, refusing int
		want                    bool
	}{
		{"alone", 0, 0, 0, true},
		{"all heard", 4, 0, 0, true},
		{"one of two silent", 0, 1, 0, false},
		{"two of five silent", 2, 2, 0, true},
		{"three of five silent", 1, 3, 0, false},
		{"three of five do not respond", 1, 0, 3, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := peers.NewMembers(member("self", "west", 1), 0, event.Discard{})
			now := start.Add(2 * peers.DefaultAliveFor)
			add := func(n int, prefix string, at time.Time) {
				for i := range n {
					in := member(domain.NodeID(prefix+string(rune('0'+i))), "west", 2)
					m.Merge(at, &in, nil)
				}
			}
			add(tc.silent, "silent", start)
			add(tc.heard, "heard", now)
			add(tc.refusing, "unreachable", now)
			for i := range tc.refusing {
				m.MarkUnreachable(domain.NodeID("unreachable" + string(rune('0'+i))))
			}
			remote := member("remote", "east", 2)
			m.Merge(start, &remote, nil)
			if got := m.ReachesMajority(now); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

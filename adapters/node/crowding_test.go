package node

import "testing"

func TestCrowdingOfSharedSlots(t *testing.T) {
	for name, c := range map[string]struct {
		slots, own, others, nodes int
		want                      bool
	}{
		"no upstream yet":                      {0, 5, 0, 3, false},
		"free slots":                           {120, 30, 60, 3, false},
		"alone with a queue":                   {120, 241, 0, 3, false},
		"alone and crowded":                    {120, 242, 0, 3, true},
		"others took half":                     {120, 122, 60, 3, true},
		"even share although others took more": {120, 81, 120, 3, false},
		"twice the even share and slack used":  {120, 82, 120, 3, true},
		"a burst at few slots":                 {4, 5, 4, 2, false},
		"unknown number of nodes":              {8, 18, 0, 0, true},
	} {
		if got := crowded(c.slots, c.own, c.others, c.nodes); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}

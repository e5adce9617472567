package node

import "testing"

func TestOverloadOfSharedSlots(t *testing.T) {
	for name, c := range map[string]struct {
		slots, own, others, nodes int
		want                      bool
	}{
		"no upstream yet":                      {0, 5, 0, 3, false},
		"free slots":                           {120, 30, 60, 3, false},
		"no load from others, with a queue":    {120, 241, 0, 3, false},
		"no load from others, above the limit": {120, 242, 0, 3, true},
		"others use half":                      {120, 122, 60, 3, true},
		"equal share although others use more": {120, 81, 120, 3, false},
		"twice the equal share and the slack":  {120, 82, 120, 3, true},
		"burst at few slots":                   {4, 5, 4, 2, false},
		"unknown number of nodes":              {8, 18, 0, 0, true},
	} {
		if got := overloaded(c.slots, c.own, c.others, c.nodes); got != c.want {
			t.Errorf("%s: got %t, want %t", name, got, c.want)
		}
	}
}

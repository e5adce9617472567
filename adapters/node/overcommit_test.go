package node

import "testing"

func TestNodesTogetherDoNotOvercommitTheirUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		slots, own, others, nodes int
		want                      bool
	}{
		"no upstream yet":                       {0, 5, 0, 3, false},
		"free slots":                            {120, 30, 60, 3, false},
		"alone with all slots":                  {120, 119, 0, 3, false},
		"alone and full":                        {120, 120, 0, 3, true},
		"others took the rest":                  {120, 60, 60, 3, true},
		"even share although others took more":  {120, 39, 120, 3, false},
		"even share used":                       {120, 40, 120, 3, true},
		"one node of an unknown number of them": {8, 8, 0, 0, true},
	} {
		if got := overcommitted(c.slots, c.own, c.others, c.nodes); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}

package orders

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

const (
	transitionsFile = "../../spec/orders.transitions"
	specification   = "../../spec/orders.pml"
)

// readTransitions returns the next state, indexed by "state event".
func readTransitions(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile(transitionsFile)
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]string)
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] != "#" {
			rows[f[0]+" "+f[1]] = f[2]
		}
	}
	return rows
}

func TestTransitionsEqualSpecification(t *testing.T) {
	rows := readTransitions(t)
	seen := 0
	for _, from := range []State{Candidate, Waiting, Ordering} {
		for _, e := range []Event{Take, WaitOut, Lose, Release} {
			m := newLifecycle()
			m.SetState(string(from))
			want, allowed := rows[string(from)+" "+string(e)]
			if allowed {
				seen++
			} else {
				want = string(from)
			}
			if got := apply(m, e); got != allowed || m.Current() != want {
				t.Errorf("event %s in state %s: got allowed %v, state %s; want %v, %s", e, from, got, m.Current(), allowed, want)
			}
		}
	}
	if seen != len(rows) {
		t.Errorf("%d of %d rows of the transition file match states and events of the code", seen, len(rows))
	}
}

func TestSpecificationMatchesTransitionFile(t *testing.T) {
	text, err := os.ReadFile(specification)
	if err != nil {
		t.Fatal(err)
	}
	used := make(map[string]string)
	for _, m := range regexp.MustCompile(`MOVE\(\d, (\w+), (\w+), (\w+)\)`).FindAllStringSubmatch(string(text), -1) {
		used[m[1]+" "+m[2]] = m[3]
	}
	for name, to := range readTransitions(t) {
		if used[name] != to {
			t.Errorf("the specification has %q to %q, the transition file has %q", name, used[name], to)
		}
		delete(used, name)
	}
	for name := range used {
		t.Errorf("row %s of the specification is missing in the transition file", name)
	}
}

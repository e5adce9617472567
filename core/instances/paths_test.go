package instances_test

import (
	"testing"

	"github.com/crocusspread/crocusspread/core/instances"
)

// The addresses are those of the upstreams of different machines.
func TestPathsAreSuspectedOnlyIfSeveralUpstreamsAreNotReached(t *testing.T) {
	type dial struct {
		address   string
		startedAt int
		opened    bool
	}
	for name, c := range map[string]struct {
		dials []dial
		want  bool
	}{
		"one upstream":                      {[]dial{{"a:1", 0, false}, {"a:1", 10, false}}, false},
		"two upstreams":                     {[]dial{{"a:1", 0, false}, {"b:1", 10, false}}, true},
		"two, one reached in between":       {[]dial{{"a:1", 0, false}, {"c:1", 5, true}, {"b:1", 10, false}}, false},
		"two, then one reached":             {[]dial{{"a:1", 0, false}, {"b:1", 10, false}, {"c:1", 20, true}}, false},
		"two, one reached before the first": {[]dial{{"a:1", 10, false}, {"b:1", 10, false}, {"c:1", 0, true}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			reports := 0
			cat := newCatalog(t, instances.Options{PathsSuspected: func() { reports++ }}, "a")
			for _, d := range c.dials {
				cat.RecordDial(d.address, after(d.startedAt), d.opened)
			}
			if got := cat.PathsSuspected(); got != c.want {
				t.Errorf("got suspected %v, want %v", got, c.want)
			}
			if got := reports > 0; c.want && !got {
				t.Error("the suspicion was not reported")
			}
		})
	}
}

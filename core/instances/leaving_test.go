package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
)

// TestLeavingToldBeforeTheEntryIsKnownIsRemembered guards against a statement that is dropped because the node has no record, or an
// older one, of the process when it arrives.
func TestLeavingToldBeforeTheEntryIsKnownIsRemembered(t *testing.T) {
	process := func(started int64) instances.Instance {
		in := newInstance("a")
		in.Started = started
		return in
	}
	leaving := []instances.Statement{{Service: "app", Instance: "a", Started: 2, Leaving: true}}
	for name, prepare := range map[string]func(*instances.Catalog){
		"no entry yet":            func(*instances.Catalog) {},
		"entry of an older one":   func(c *instances.Catalog) { c.Put(start, process(1)) },
		"entry removed meanwhile": func(c *instances.Catalog) { c.Put(start, process(2)); c.Remove(start, "a") },
	} {
		c := newCatalog(t, instances.Options{}, "b")
		prepare(c)
		c.ApplyStatements(start, start, leaving)
		now := start.Add(2 * time.Second)
		c.Put(now, process(2))
		if receivesRequest(c, now, "a") {
			t.Errorf("%s: a process that leaves gets requests", name)
		}
		c.Put(now, process(3))
		if !receivesRequest(c, now, "a") {
			t.Errorf("%s: the next process gets no requests", name)
		}
	}
}

package faulttest

import (
	"net/http"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/core/domain"
)

// TestNotRunIsTrueOfRepeatableCalls makes calls whose first attempt may run and
// whose later ones cannot reach a service: "not run" must speak of all of them.
func TestNotRunIsTrueOfRepeatableCalls(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// first is what the living service does; the other one is gone.
		first faults.Mode
		entry string
	}{
		{"runs and closes", faults.CloseAfterRun, "north-1"},
		{"runs and closes, forwarded", faults.CloseAfterRun, "south-1"},
		{"closes before running", faults.CloseBeforeRun, "north-1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, site{region: "north", nodes: 1, services: 2}, site{region: "south", nodes: 1})
			d.upstreamFaults("ledger-north-1", faults.Fault{Mode: c.first})
			d.upstreams["ledger-north-2"].relay.gone()
			told := make(map[string]reply)
			for range 12 {
				r := call(d.nodes[c.entry], "key-north", http.MethodGet, "/services/"+serviceName+"/read", nil, "")
				told[r.requestID()] = r
			}
			d.verifyNotRun(told)
		})
	}
}

// verifyNotRun compares what callers were told with the runs at the services.
func (d *deployment) verifyNotRun(told map[string]reply) {
	d.t.Helper()
	runs := d.serviceRuns("")
	for id, r := range told {
		if r.run() == domain.RunNo && runs[id] > 0 {
			d.t.Errorf("told \"not run\", ran %d times: %s: %s", runs[id], r, r.body)
		}
	}
}

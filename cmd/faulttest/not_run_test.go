package faulttest

import (
	"net/http"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/core/domain"
)

// TestNotRunCoversAllAttempts makes repeatable calls whose first attempt may run and
// whose retries can't reach a service. A response may say "not run" only if no
// attempt ran, the first one included.
func TestNotRunCoversAllAttempts(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// mode is the fault of the reachable service; the other one is unreachable.
		mode  faults.Mode
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
			d.setUpstreamFaults("ledger-north-1", faults.Fault{Mode: c.mode})
			d.upstreams["ledger-north-2"].proxy.shutdown()
			responses := make(map[string]response)
			for range 12 {
				r := call(d.nodes[c.entry], "key-north", http.MethodGet, "/services/"+serviceName+"/read", nil, "")
				responses[r.requestID()] = r
			}
			d.checkNotRun(responses)
		})
	}
}

// checkNotRun checks that no request whose response says "not run" ran at a service.
func (d *deployment) checkNotRun(responses map[string]response) {
	d.t.Helper()
	runs := d.serviceExecutions("")
	for id, r := range responses {
		if r.run() == domain.RunNo && runs[id] > 0 {
			d.t.Errorf("response says \"not run\", but the call ran %d times: %s: %s", runs[id], r, r.body)
		}
	}
}

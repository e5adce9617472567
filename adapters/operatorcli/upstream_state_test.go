package operatorcli

import (
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
)

func TestStatusShowsWhyAnUpstreamGetsNoRequests(t *testing.T) {
	var out strings.Builder
	fleet := FleetStatus{Nodes: []NodeStatus{{Status: &adminapi.Status{Upstreams: []adminapi.Upstream{
		{ID: "u1", Kind: "service", State: "serving"}, {ID: "u2", Kind: "service", Reason: "wants no requests", EndsInMS: 2500}, {ID: "u3", Kind: "service", Reason: "leaving, by its answers"},
	}}}}}
	fleet.WriteText(&out)
	for _, want := range []string{"serving", "wants no requests for 2.5s", "leaving, by its answers "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the status lacks %q:\n%s", want, out.String())
		}
	}
}

// Operators must see why keys are refused, and nothing of it in deployments without accounts.
func TestStatusShowsTheAgeOfTheProof(t *testing.T) {
	for want, ms := range map[string]int64{"proved current 1.25s ago": 1250, "lists not proved current": -1} {
		var out strings.Builder
		(&FleetStatus{Nodes: []NodeStatus{{Status: &adminapi.Status{Lists: adminapi.Lists{ProofMS: &ms}}}}}).WriteText(&out)
		if !strings.Contains(out.String(), want) {
			t.Errorf("the status lacks %q:\n%s", want, out.String())
		}
	}
	var out strings.Builder
	(&FleetStatus{Nodes: []NodeStatus{{Status: &adminapi.Status{}}}}).WriteText(&out)
	if strings.Contains(out.String(), "proved") {
		t.Errorf("the status speaks of a proof without accounts:\n%s", out.String())
	}
}

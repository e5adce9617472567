package faulttest

import (
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/servicesim"
	"github.com/crocusspread/crocusspread/core/ports"
)

// counter returns the value of one of a node's counters.
func (d *deployment) counter(n *nodeProc, name string) int {
	d.t.Helper()
	var all map[string]struct {
		Count int `json:"count"`
	}
	d.get("http://"+*n.adminAddress.Load()+"/metrics", &all)
	return all[name].Count
}

// engineExecutions returns the executions at the engines of a region by request id.
func (d *deployment) engineExecutions(region string) map[string]enginesim.Execution {
	d.t.Helper()
	executions := make(map[string]enginesim.Execution)
	for _, u := range d.upstreams {
		if u.role != ports.RoleEngine || u.site.region != region || u.exited() {
			continue
		}
		var list []enginesim.Execution
		d.get("http://"+u.address+enginesim.PathExecutions, &list)
		for _, e := range list {
			executions[string(e.RequestID)] = e
		}
	}
	return executions
}

// serviceExecutions returns the number of executions of each id at the services of a
// region, or of all regions if region is empty.
func (d *deployment) serviceExecutions(region string) map[string]int {
	d.t.Helper()
	counts := make(map[string]int)
	for _, u := range d.upstreams {
		if u.role != ports.RoleService || (region != "" && u.site.region != region) {
			continue
		}
		var list []servicesim.Execution
		d.get("http://"+u.address+servicesim.PathExecutions, &list)
		for _, e := range list {
			counts[e.ID] += e.Count
		}
	}
	return counts
}

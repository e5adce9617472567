package faulttest

import (
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/servicesim"
	"github.com/crocusspread/crocusspread/core/ports"
)

// counter returns one of a node's counters.
func (d *deployment) counter(n *nodeProc, name string) int {
	d.t.Helper()
	var all map[string]struct {
		Count int `json:"count"`
	}
	d.get("http://"+*n.admin.Load()+"/metrics", &all)
	return all[name].Count
}

// engineRuns returns the executions at the engines of a region.
func (d *deployment) engineRuns(region string) map[string]enginesim.Execution {
	d.t.Helper()
	runs := make(map[string]enginesim.Execution)
	for _, u := range d.upstreams {
		if u.role != ports.RoleEngine || u.site.region != region || u.ended() {
			continue
		}
		var list []enginesim.Execution
		d.get("http://"+u.real+enginesim.PathExecutions, &list)
		for _, e := range list {
			runs[string(e.RequestID)] = e
		}
	}
	return runs
}

// serviceRuns returns how often each id ran at the services of a region, or of
// all regions if it is empty.
func (d *deployment) serviceRuns(region string) map[string]int {
	d.t.Helper()
	runs := make(map[string]int)
	for _, u := range d.upstreams {
		if u.role != ports.RoleService || (region != "" && u.site.region != region) {
			continue
		}
		var list []servicesim.Execution
		d.get("http://"+u.real+servicesim.PathExecutions, &list)
		for _, e := range list {
			runs[e.ID] += e.Count
		}
	}
	return runs
}

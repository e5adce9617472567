package faulttest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/routedsim"
	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

// soakDeployment is two regions of real node processes. The store and the upstreams run
// in the test process, and a faultProxy is on each link from the nodes to them.
type soakDeployment struct {
	t            *testing.T
	store        *storesim.Store
	storeAddress string
	nodes        []*soakNode
	upstreams    []*soakUpstream
	limited      *soakUpstream   // names a rate limit; nil if none does
	cold         []*soakUpstream // those of the service with cold phases
	timeout      time.Duration   // of all routes

	// callerKey is the key of requests that name no other; empty without client accounts.
	callerKey string

	mu      sync.Mutex
	version int
	// accounts are the client accounts of the routing table; nil means none.
	accounts []soakAccount
	routes   []byte // the routing table of that version
}

// soakNode is one node across restarts of its process.
type soakNode struct {
	name, region, settings     string
	key                        string // of requests that name no other
	entryAddress, readyAddress string
	storeProxy                 *faultProxy
	gate                       *pathGate
	// binary is the build of the node that is started next.
	binary string
	// metricsPort is the port of the node's metrics; empty if it serves none.
	metricsPort string
	// wrapper is a command that runs the node's binary and its arguments, which follow;
	// empty if the binary is run with the gate, without which paths cannot be cut.
	wrapper []string

	mu   sync.Mutex
	proc *process
	// former holds the processes before it.
	former []*process
}

// soakUpstream is a simulated upstream with the proxy on its link.
type soakUpstream struct {
	*routedsim.Server
	region string
	proxy  *faultProxy
	// undelimited counts the reasons why responses may have neither length nor chunks.
	undelimited atomic.Int32
}

// closeConnections closes the connections to the upstream. Those on which the end of the
// connection may be the end of a response are reset, as a network does.
func (u *soakUpstream) closeConnections() {
	if u.undelimited.Load() > 0 {
		u.proxy.resetOpen()
	} else {
		u.proxy.closeOpen()
	}
}

const (
	soakHost = "soak.example"
	// Retry budget as in the users' settings: repeated requests are limited to the ratio
	// of all requests plus the slack within each window.
	soakBudgetRatio  = 0.2
	soakBudgetSlack  = 58
	soakBudgetWindow = 10 * time.Second
	// soakRouteTimeout is the time limit of the routes.
	soakRouteTimeout = 3 * time.Second
)

// newSoakDeployment starts a deployment with the given client accounts. Requests carry the key
// of the first one unless they name another.
func newSoakDeployment(t *testing.T, accounts ...soakAccount) *soakDeployment {
	return newSoakDeploymentOf(t, nodeBinary, accounts...)
}

// newSoakDeploymentOf does the same with nodes of another build.
func newSoakDeploymentOf(t *testing.T, binary string, accounts ...soakAccount) *soakDeployment {
	store := storesim.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d := &soakDeployment{t: t, store: store, storeAddress: server.Listener.Addr().String(), timeout: soakRouteTimeout, accounts: accounts}
	if len(accounts) > 0 {
		d.callerKey = accounts[0].keys[0]
	}
	d.publishRoutes()
	for _, region := range []string{"west", "east"} {
		for n := range 2 {
			d.addUpstream("app", region, fmt.Sprintf("u-%s-%d", region, n))
		}
		d.addUpstream("app2", region, "u2-"+region)
		d.cold = append(d.cold, d.addUpstream("cold", region, "cold-"+region))
	}
	reserveProcesses(t, 4)
	var seeds []string
	for _, region := range []string{"west", "east"} {
		for n := range 2 {
			seeds = append(seeds, d.addNode(region, n, seeds))
		}
	}
	for _, n := range d.nodes {
		n.binary = binary
		n.start(t, nil)
	}
	d.waitServing("after the start")
	return d
}

// addUpstream starts a simulated upstream and registers its proxy's address.
func (d *soakDeployment) addUpstream(service, region, id string) *soakUpstream {
	u := &soakUpstream{region: region}
	u.Server = routedsim.StartWithAddress(d.store, service, region+"-a", id, func(address string) string {
		u.proxy = newFaultProxy(d.t, address)
		return u.proxy.address()
	})
	d.t.Cleanup(u.Close)
	if service != "cold" { // the faults of the others would hide what a cold one gets
		d.upstreams = append(d.upstreams, u)
	}
	return u
}

// addNode writes the settings of a node and returns its control address, which serves
// as a seed for later nodes.
func (d *soakDeployment) addNode(region string, n int, seeds []string) string {
	ports := freePorts(d.t, 4)
	node := &soakNode{binary: nodeBinary, name: fmt.Sprintf("n-%s-%d", region, n), region: region, key: d.callerKey, entryAddress: ports[0], readyAddress: ports[1], storeProxy: newFaultProxy(d.t, d.storeAddress), gate: newPathGate(d.t, ports[0], d.isUpstreamPort)}
	node.settings = filepath.Join(d.t.TempDir(), "settings.yaml")
	text, err := json.Marshal(map[string]any{ // JSON is YAML too
		"node_name": node.name, "zone": region + "-a", "region": region,
		"zones":  map[string]string{"west-a": "west", "east-a": "east"},
		"listen": map[string]string{"front": ports[0], "ready": ports[1], "directory": ports[2], "control": ports[3]},
		"seeds":  seeds,
		"limits": map[string]any{"cpu_share": 1, "cores": 1, "memory_mb": 256, "max_fds": 4096},
		"bounds": map[string]any{"grace_s": 8, "retry_budget_ratio": soakBudgetRatio, "retry_budget_slack": soakBudgetSlack, "budget_window_s": soakBudgetWindow.Seconds(), "ttl_max_s": 5,
			"strict_revoke": true, "revoke_ms": revocationBound.Milliseconds(), "quota_window_s": soakQuotaWindow.Seconds(), "quota_over": soakQuotaOver, "quota_slack": soakQuotaSlack},
		"provider": map[string]any{"address": node.storeProxy.address(), "ttl_min_ms": 1000},
	})
	if err == nil {
		err = os.WriteFile(node.settings, text, 0o600)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	d.nodes = append(d.nodes, node)
	return ports[3]
}

// start starts a process in place of a former one, which is nil at first. It does nothing if
// that has been replaced already.
func (n *soakNode) start(t *testing.T, former *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc != former {
		return
	}
	if former != nil {
		n.former = append(n.former, former)
	}
	wrapper := n.wrapper
	if wrapper == nil {
		wrapper = n.gate.command(t)
	}
	command := append(slices.Clone(wrapper), n.binary, "--platform", "--settings", n.settings, "--log-lines", "100000")
	if n.metricsPort != "" {
		command = append(command, "--metrics-port", n.metricsPort)
	}
	n.proc = start(t, n.name, command[0], command[1:]...)
}

// checkEnds checks how the node's processes ended; see process.checkEnd.
func (n *soakNode) checkEnds(t *testing.T) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range append(n.former, n.proc) {
		p.checkEnd(t)
	}
}

func (n *soakNode) process() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// publishRoutes stores the next version of the routing table and returns the version.
// Each version changes the service of the idempotent route.
func (d *soakDeployment) publishRoutes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.publishNext()
}

// publishNext is publishRoutes for callers that hold d.mu.
func (d *soakDeployment) publishNext() int {
	d.version++
	service := "app"
	if d.version%2 == 0 {
		service = "app2"
	}
	route := func(name, kind, service string, attempts int, resumable bool, regions ...string) map[string]any {
		return map[string]any{"name": name, "host": soakHost, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": d.timeout.Milliseconds(),
			"target_latency_ms": 1000, "gap_aim_ms": 500, "priority": 1, "service": service, "max_attempts": attempts, "resumable": resumable, "allowed_regions": regions}
	}
	table := map[string]any{
		"version": d.version,
		"routes": []any{
			route("safe", "safe", service, 2, false), route("call", "unsafe", "app", 2, false),
			route("home", "unsafe", "app", 2, false, "west"), route("stream", "streaming", "app", 2, true),
			route("once", "streaming", "app", 1, false), route("cold", "safe", "cold", 2, false),
		},
		"services": []any{map[string]any{"name": "app", "max_connections": 500}, map[string]any{"name": "app2", "max_connections": 500},
			map[string]any{"name": "cold", "max_connections": 500, "health_path": "/healthz", "cold_start_s": soakColdPeriod.Seconds(), "cold_per_s": soakColdRate}},
		"limits": map[string]any{"max_body_bytes": 1 << 20},
	}
	if d.accounts != nil {
		table["tenants"] = tenants(d.accounts)
	}
	text, err := json.Marshal(table)
	if err != nil {
		d.t.Error(err)
	}
	d.routes = text
	d.store.Put("op/config", text)
	return d.version
}

// publishAgain stores the last version of the routing table again.
func (d *soakDeployment) publishAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.Put("op/config", d.routes)
}

// waitServing waits until each node is ready and serves a request.
func (d *soakDeployment) waitServing(when string) {
	for _, n := range d.nodes {
		waitFor(d.t, n.name+" to serve requests "+when, func() bool {
			resp, err := adminClient.Get("http://" + n.readyAddress + "/api/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK && n.sendOnce("safe", "probe").status == http.StatusOK
		})
	}
}

// restore ends all faults and restarts nodes whose process has exited.
func (d *soakDeployment) restore() {
	d.store.SetFaults(storesim.Faults{})
	for _, key := range d.store.Keys(evacuationPrefix) {
		d.store.Delete(key)
	}
	for _, u := range d.allUpstreams() {
		u.proxy.restore()
		u.SetBehaviour(normalBehaviour.WithEvents(soakEvents))
		u.Register("ready")
	}
	d.restorePaths(d.nodes...)
	for _, n := range d.nodes {
		n.storeProxy.restore()
		p := n.process()
		p.thaw()
		if p.exited() {
			n.start(d.t, p)
		}
	}
}

// allUpstreams returns all upstreams, those with a cold phase included.
func (d *soakDeployment) allUpstreams() []*soakUpstream {
	return append(slices.Clone(d.upstreams), d.cold...)
}

// isUpstreamPort reports whether nodes reach an upstream at a port.
func (d *soakDeployment) isUpstreamPort(port int) bool {
	return slices.ContainsFunc(d.allUpstreams(), func(u *soakUpstream) bool { return portOf(u.proxy.listener.Addr()) == port })
}

// nodesOf returns the nodes of a region, which is one failure domain.
func (d *soakDeployment) nodesOf(region string) []*soakNode {
	return slices.DeleteFunc(slices.Clone(d.nodes), func(n *soakNode) bool { return n.region != region })
}

// runs returns the number of runs of each request id at all upstreams.
func (d *soakDeployment) runs() map[string]int {
	total := make(map[string]int)
	for _, u := range d.allUpstreams() {
		for id, n := range u.Executions() {
			total[id] += n
		}
	}
	return total
}

// restart waits until a process of the node has exited and starts one in place of it.
func (n *soakNode) restart(t *testing.T, p *process) {
	<-p.done
	n.start(t, p)
}

// reload makes the node reload its settings with SIGHUP, once its process handles signals.
func (n *soakNode) reload() { n.process().signalIfHandled(syscall.SIGHUP) }

// isHomeRequest reports whether a request id belongs to the route that allows only
// region west.
func isHomeRequest(id string) bool { return strings.HasPrefix(id, "home-") }

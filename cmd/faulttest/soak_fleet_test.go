package faulttest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/routedsim"
	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

// soakFleet is two regions of real node processes with a store and upstreams in
// the test's process, each link to them behind a relay.
type soakFleet struct {
	t         *testing.T
	store     *storesim.Store
	storeAddr string
	nodes     []*soakNode
	upstreams []*soakUpstream

	mu      sync.Mutex
	version int
}

// soakNode is one node over its restarts.
type soakNode struct {
	name, region, settings string
	entry, ready           string
	store                  *relay

	mu   sync.Mutex
	proc *process
}

type soakUpstream struct {
	*routedsim.Server
	region string
	link   *relay
}

const (
	soakHost = "soak.example"
	// The bound on repeated requests, as in the users' settings.
	soakBudgetRatio  = 0.2
	soakBudgetSlack  = 58
	soakBudgetWindow = 10 * time.Second
)

func newSoakFleet(t *testing.T) *soakFleet {
	store := storesim.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	f := &soakFleet{t: t, store: store, storeAddr: server.Listener.Addr().String()}
	f.configure()
	for _, region := range []string{"west", "east"} {
		for n := range 2 {
			f.addUpstream("app", region, fmt.Sprintf("u-%s-%d", region, n))
		}
		f.addUpstream("app2", region, "u2-"+region)
	}
	reserve(t, 4)
	var seeds []string
	for _, region := range []string{"west", "east"} {
		for n := range 2 {
			seeds = append(seeds, f.addNode(region, n, seeds))
		}
	}
	for _, n := range f.nodes {
		n.start(t)
	}
	f.waitServing("at the start")
	return f
}

func (f *soakFleet) addUpstream(service, region, id string) {
	u := &soakUpstream{region: region}
	u.Server = routedsim.StartVia(f.store, service, region+"-a", id, func(address string) string {
		u.link = newRelay(f.t, address)
		return u.link.address()
	})
	f.t.Cleanup(u.Close)
	f.upstreams = append(f.upstreams, u)
}

// addNode writes a node's settings and returns its peer address.
func (f *soakFleet) addNode(region string, n int, seeds []string) string {
	ports := freePorts(f.t, 4)
	node := &soakNode{name: fmt.Sprintf("n-%s-%d", region, n), region: region, entry: ports[0], ready: ports[1], store: newRelay(f.t, f.storeAddr)}
	node.settings = filepath.Join(f.t.TempDir(), "settings.yaml")
	text, err := json.Marshal(map[string]any{ // JSON is YAML too
		"node_name": node.name, "zone": region + "-a", "region": region,
		"zones":    map[string]string{"west-a": "west", "east-a": "east"},
		"listen":   map[string]string{"front": ports[0], "ready": ports[1], "directory": ports[2], "control": ports[3]},
		"seeds":    seeds,
		"limits":   map[string]any{"cpu_share": 1, "cores": 1, "memory_mb": 256, "max_fds": 4096},
		"bounds":   map[string]any{"grace_s": 8, "retry_budget_ratio": soakBudgetRatio, "retry_budget_slack": soakBudgetSlack, "budget_window_s": soakBudgetWindow.Seconds(), "ttl_max_s": 5},
		"provider": map[string]any{"address": node.store.address(), "ttl_min_ms": 1000},
	})
	if err == nil {
		err = os.WriteFile(node.settings, text, 0o600)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, node)
	return ports[3]
}

func (n *soakNode) start(t *testing.T) {
	p := start(t, n.name, nodeBinary, "--platform", "--settings", n.settings, "--log-lines", "100000")
	n.mu.Lock()
	n.proc = p
	n.mu.Unlock()
}

func (n *soakNode) process() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// configure publishes the next version of the routing table; the service of the
// idempotent route changes with each.
func (f *soakFleet) configure() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	service := "app"
	if f.version%2 == 0 {
		service = "app2"
	}
	route := func(name, kind, service string, attempts int, resumable bool, regions ...string) map[string]any {
		return map[string]any{"name": name, "host": soakHost, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 3000,
			"target_latency_ms": 1000, "gap_aim_ms": 500, "priority": 1, "service": service, "max_attempts": attempts, "resumable": resumable, "allowed_regions": regions}
	}
	text, err := json.Marshal(map[string]any{
		"version": f.version,
		"routes": []any{
			route("safe", "safe", service, 2, false), route("call", "unsafe", "app", 2, false),
			route("home", "unsafe", "app", 2, false, "west"), route("stream", "streaming", "app", 2, true),
			route("once", "streaming", "app", 1, false),
		},
		"services": []any{map[string]any{"name": "app", "max_connections": 500}, map[string]any{"name": "app2", "max_connections": 500}},
		"limits":   map[string]any{"max_body_bytes": 1 << 20},
	})
	if err != nil {
		f.t.Error(err)
	}
	f.store.Put("op/config", text)
	return f.version
}

// waitServing waits until each node is ready and answers.
func (f *soakFleet) waitServing(when string) {
	for _, n := range f.nodes {
		waitFor(f.t, n.name+" serves "+when, func() bool {
			resp, err := admin.Get("http://" + n.ready + "/api/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK && n.ask("safe", "probe").status == http.StatusOK
		})
	}
}

// heal ends all faults and restarts what does not run.
func (f *soakFleet) heal() {
	f.store.SetFaults(storesim.Faults{})
	for _, key := range f.store.Keys("op/evacuate/") {
		f.store.Delete(key)
	}
	for _, u := range f.upstreams {
		u.link.heal()
		u.Behave(usualBehaviour.With(soakEvents))
		u.Register("ready")
	}
	for _, n := range f.nodes {
		n.store.heal()
		p := n.process()
		p.thaw()
		if p.ended() {
			n.start(f.t)
		}
	}
}

func (f *soakFleet) runs() map[string]int {
	total := make(map[string]int)
	for _, u := range f.upstreams {
		for id, n := range u.Runs() {
			total[id] += n
		}
	}
	return total
}

// restart starts the node again once its process has ended.
func (n *soakNode) restart(t *testing.T) {
	<-n.process().done
	n.start(t)
}

func (n *soakNode) hangup() { n.process().signal(syscall.SIGHUP) }

func isHome(id string) bool { return strings.HasPrefix(id, "home-") }

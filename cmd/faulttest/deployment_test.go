package faulttest

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/platform"
	"github.com/crocusspread/crocusspread/adapters/platform/wire"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	model       = "assistant"
	serviceName = "ledger"
)

// site describes one region with one failure domain.
type site struct {
	region   string
	nodes    int
	engines  int
	services int
	// slots is the number of concurrent streams of each engine, and rate the tokens
	// per second of each stream.
	slots int
	rate  int
	// workTime is the duration of each execution of a service.
	workTime time.Duration
}

func (s site) place() domain.Place {
	return domain.Place{Region: domain.Region(s.region), FailureDomain: domain.FailureDomain(s.region + "-a")}
}

// upstreamProc is a process that simulates a model engine or a plain service.
type upstreamProc struct {
	*process
	id      string
	site    site
	address string      // listen address of the process
	proxy   *faultProxy // between the nodes and the process
	role    ports.VMRole
	target  string
}

// nodeProc is a node process. Other nodes connect to it through peerProxy, and it
// connects to the platform through platformProxy.
type nodeProc struct {
	*process
	id            string
	site          site
	callerAddress string
	adminAddress  atomic.Pointer[string] // atomic because watchers read it while a node restarts
	peerProxy     *faultProxy
	platformProxy *faultProxy
	options       nodeOptions
}

// nodeOptions holds the settings that differ between tests; heartbeat is a duration
// as in the settings file.
type nodeOptions struct {
	heartbeat string
	// extra is appended to the settings.
	extra string
	// wrapper is a command that runs the node's binary and its arguments, which follow;
	// empty if the binary is run itself.
	wrapper []string
}

// deployment is a platform, upstreams and nodes, each a process of its own.
type deployment struct {
	t           testing.TB
	platform    *process
	platformURL string
	kv          ports.KV
	sites       []site
	nodes       map[string]*nodeProc
	upstreams   map[string]*upstreamProc
	leaving     map[string]bool
}

// processSlots limits the number of processes that tests run concurrently.
var processSlots = make(chan struct{}, 60)

// reserveProcesses acquires n process slots until the test ends.
func reserveProcesses(t testing.TB, n int) {
	for range n {
		processSlots <- struct{}{}
	}
	t.Cleanup(func() {
		for range n {
			<-processSlots
		}
	})
}

// reservationLock serializes the reservation of process slots, because deployments
// that each hold a part of their slots would deadlock.
var reservationLock = make(chan struct{}, 1)

// deploy starts a deployment and waits until every node serves requests and has a
// complete view of the deployment.
func deploy(t testing.TB, sites ...site) *deployment {
	t.Helper()
	d := deployWith(t, nodeOptions{heartbeat: "100ms"}, sites...)
	d.waitReady()
	return d
}

// deployWith starts a deployment with the given node options and doesn't wait for
// it to be ready.
func deployWith(t testing.TB, options nodeOptions, sites ...site) *deployment {
	t.Helper()
	count := 1
	for _, s := range sites {
		count += s.nodes + s.engines + s.services
	}
	reservationLock <- struct{}{}
	reserveProcesses(t, count)
	<-reservationLock
	d := &deployment{
		t: t, sites: sites, nodes: make(map[string]*nodeProc), upstreams: make(map[string]*upstreamProc), leaving: make(map[string]bool),
	}
	var address string
	d.platform, address = startStandin(t, "platform", "platform", "")
	d.platformURL = "http://" + address
	client := platform.New(d.platformURL, platform.Options{})
	t.Cleanup(client.Close)
	d.kv = client.KV()
	for _, s := range sites {
		d.startUpstreams(s)
	}
	if _, err := d.applyLists("deployment", document(sites)); err != nil {
		t.Fatal(err)
	}
	for _, s := range sites {
		for i := range s.nodes {
			d.prepareNode(s, fmt.Sprintf("%s-%d", s.region, i+1), options)
		}
	}
	d.publishVMs()
	for _, n := range d.nodes {
		d.startNode(n)
	}
	return d
}

func (d *deployment) startUpstreams(s site) {
	for i := range s.engines {
		id := fmt.Sprintf("engine-%s-%d", s.region, i+1)
		config := fmt.Sprintf("id: %s\nmodels: [%s]\nslots: %d\ndecode_tokens_per_second: %d\ntime_scale: 1\nkeep_alive_ns: 200000000\n",
			id, model, max(1, s.slots), max(1, s.rate))
		d.startUpstream(s, id, "engine", config, ports.RoleEngine, "")
	}
	for i := range s.services {
		id := fmt.Sprintf("%s-%s-%d", serviceName, s.region, i+1)
		config := fmt.Sprintf("id: %s\nwork_time_ns: %d\n", id, s.workTime.Nanoseconds())
		d.startUpstream(s, id, "service", config, ports.RoleService, serviceName)
	}
}

func (d *deployment) startUpstream(s site, id, kind, config string, role ports.VMRole, target string) {
	p, address := startStandin(d.t, kind, id, config)
	d.upstreams[id] = &upstreamProc{
		process: p, id: id, site: s, address: address, proxy: newFaultProxy(d.t, address), role: role, target: target,
	}
}

// publishVMs replaces the VM list of the platform.
func (d *deployment) publishVMs() {
	var list wire.VMs
	for _, u := range d.upstreams {
		list.VMs = append(list.VMs, ports.VM{
			ID: u.id, Role: u.role, Place: u.site.place(), Address: u.proxy.address(), Target: u.target, Leaving: d.leaving[u.id],
		})
	}
	for _, n := range d.nodes {
		list.VMs = append(list.VMs, ports.VM{ID: n.id, Role: ports.RoleEntry, Place: n.site.place(), Address: n.peerProxy.address()})
	}
	d.post(d.platformURL+platformsim.PathSetVMs, list)
}

func (d *deployment) prepareNode(s site, id string, options nodeOptions) {
	d.nodes[id] = &nodeProc{
		id: id, site: s, options: options,
		peerProxy: newFaultProxy(d.t, ""), platformProxy: newFaultProxy(d.t, strings.TrimPrefix(d.platformURL, "http://")),
	}
}

// nodeSettings is the format of a node settings file.
const nodeSettings = `
node: {id: %s, region: %s, failure_domain: %s}
listen: {caller: %q, peer: %q, admin: %q, advertised_peer: %q}
platform: {url: "http://%s"}
time_limits: {header: 2s, request: 55s, progress: %s}
drain: {entry_ttl: 1s, max: 2m}
heartbeat_interval: %s
`

// maxPortAttempts limits the attempts to start a node when other processes bind its
// ports first.
const maxPortAttempts = 10

// startNode starts a node on free ports and waits until its admin listener responds.
func (d *deployment) startNode(n *nodeProc) {
	d.t.Helper()
	for range maxPortAttempts {
		if d.tryStartNode(n) {
			return
		}
	}
	d.t.Fatalf("node %s found no free ports: %s", n.id, n.out.String())
}

func (d *deployment) tryStartNode(n *nodeProc) bool {
	ports := freePorts(d.t, 3)
	n.callerAddress = ports[0]
	n.adminAddress.Store(&ports[2])
	n.peerProxy.setTarget(ports[1])
	place := n.site.place()
	progress := "1s"
	if n.options.heartbeat != "100ms" {
		progress = "20s"
	}
	text := fmt.Sprintf(nodeSettings, n.id, place.Region, place.FailureDomain, ports[0], ports[1], ports[2],
		n.peerProxy.address(), n.platformProxy.address(), progress, n.options.heartbeat)
	path := filepath.Join(d.t.TempDir(), n.id+".yaml")
	if err := os.WriteFile(path, []byte(text+n.options.extra), 0o600); err != nil {
		d.t.Fatal(err)
	}
	command := append(slices.Clone(n.options.wrapper), nodeBinary, "--settings", path)
	n.process = start(d.t, n.id, command[0], command[1:]...)
	listening := false
	waitFor(d.t, n.id+" to listen", func() bool {
		_, err := d.tryStatus(n)
		listening = err == nil
		return listening || n.exited()
	})
	if n.exited() && !strings.Contains(n.out.String(), "address already in use") {
		d.t.Fatalf("node %s exited: %s", n.id, n.out.String())
	}
	return listening && !n.exited()
}

// waitReady waits until every node serves requests, has a complete view of the
// deployment and reaches the upstreams of every region.
func (d *deployment) waitReady() {
	d.t.Helper()
	for _, n := range d.nodes {
		waitFor(d.t, n.id+" to have a complete view of the deployment", func() bool { return d.hasCompleteView(n) })
	}
	var checks sync.WaitGroup
	var unreachable atomic.Int64
	for _, n := range d.nodes {
		for _, s := range d.sites {
			checks.Go(func() {
				deadline := time.Now().Add(hangTimeout)
				for !d.reaches(n, s) {
					if time.Now().After(deadline) {
						unreachable.Add(1)
						return
					}
					time.Sleep(pollInterval)
				}
			})
		}
	}
	checks.Wait()
	if unreachable.Load() > 0 {
		d.t.Fatalf("timed out waiting for every node to reach every region")
	}
}

// reaches reports whether a node gets successful responses from the upstreams of a
// region.
func (d *deployment) reaches(n *nodeProc, s site) bool {
	key := "key-" + s.region
	if s.engines > 0 && d.startChat(n, key, "ready?", 1).finish().status != http.StatusOK {
		return false
	}
	return s.services == 0 || call(n, key, http.MethodGet, "/services/"+serviceName+"/ready", nil, "").status == http.StatusOK
}

// hasCompleteView reports whether a node serves requests and knows all members, its
// own upstreams with their slots, and the capacity of every other failure domain.
func (d *deployment) hasCompleteView(n *nodeProc) bool {
	st, err := d.tryStatus(n)
	if err != nil || st.State != domain.NodeServing || len(st.Members) < len(d.nodes) {
		return false
	}
	known := make(map[domain.FailureDomain]bool)
	for _, other := range st.Domains {
		if other.Capacity > 0 {
			known[other.Place.FailureDomain] = true
		}
	}
	for _, s := range d.sites {
		hasUpstreams := s.engines+s.services > 0
		if hasUpstreams && s.region != n.site.region && !known[s.place().FailureDomain] {
			return false
		}
		if s.region == n.site.region && len(st.Upstreams) < s.engines+s.services {
			return false
		}
	}
	for _, u := range st.Upstreams {
		if u.Slots == 0 {
			return false
		}
	}
	return true
}

// waitForEvent waits until a node has logged an event.
func (d *deployment) waitForEvent(node, event string) {
	d.t.Helper()
	waitFor(d.t, node+" to log "+event, func() bool { return strings.Contains(d.nodes[node].out.String(), event) })
}

// listsVersion returns the lists version in force at a node, or 0 if the node doesn't
// respond.
func (d *deployment) listsVersion(n *nodeProc) domain.ListsVersion {
	st, err := d.tryStatus(n)
	if err != nil {
		return 0
	}
	return st.Lists.Version
}

package faulttest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/adapters/platform"
	"github.com/crocusspread/crocusspread/adapters/platform/wire"
	"github.com/crocusspread/crocusspread/adapters/standin/faults"
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
	// slots and rate (tokens a second of one stream) are of each engine.
	slots int
	rate  int
	// work is how long each execution of a service takes.
	work time.Duration
}

func (s site) place() domain.Place {
	return domain.Place{Region: domain.Region(s.region), FailureDomain: domain.FailureDomain(s.region + "-a")}
}

// upstreamProc is an engine or a service.
type upstreamProc struct {
	*process
	id     string
	site   site
	real   string // address of the process
	relay  *relay // between nodes and the process
	role   ports.VMRole
	target string
}

// nodeProc is a node. Others reach it through peers, and it reaches the platform
// through platform.
type nodeProc struct {
	*process
	id       string
	site     site
	caller   string
	admin    atomic.Pointer[string] // read by watchers while a node restarts
	peers    *relay
	platform *relay
	entry    settingsOf
}

// settingsOf is what a node is started with.
type settingsOf struct{ heartbeat string }

// deployment is a platform, upstreams and nodes as processes.
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

// processSlots bounds the processes that tests run at the same time.
var processSlots = make(chan struct{}, 60)

func reserve(t testing.TB, n int) {
	for range n {
		processSlots <- struct{}{}
	}
	t.Cleanup(func() {
		for range n {
			<-processSlots
		}
	})
}

// reserving lets one deployment at a time collect its slots.
var reserving = make(chan struct{}, 1)

// deploy starts a deployment and waits until every node serves and knows all of
// it.
func deploy(t testing.TB, sites ...site) *deployment {
	t.Helper()
	d := deployWith(t, settingsOf{heartbeat: "100ms"}, sites...)
	d.waitReady()
	return d
}

func deployWith(t testing.TB, entry settingsOf, sites ...site) *deployment {
	t.Helper()
	count := 1
	for _, s := range sites {
		count += s.nodes + s.engines + s.services
	}
	reserving <- struct{}{}
	reserve(t, count)
	<-reserving
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
	if _, err := d.apply("deployment", document(sites)); err != nil {
		t.Fatal(err)
	}
	for _, s := range sites {
		for i := range s.nodes {
			d.prepareNode(s, fmt.Sprintf("%s-%d", s.region, i+1), entry)
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
		config := fmt.Sprintf("id: %s\nwork_time_ns: %d\n", id, s.work.Nanoseconds())
		d.startUpstream(s, id, "service", config, ports.RoleService, serviceName)
	}
}

func (d *deployment) startUpstream(s site, id, kind, config string, role ports.VMRole, target string) {
	p, address := startStandin(d.t, kind, id, config)
	d.upstreams[id] = &upstreamProc{
		process: p, id: id, site: s, real: address, relay: newRelay(d.t, address), role: role, target: target,
	}
}

// publishVMs replaces the platform's VM list.
func (d *deployment) publishVMs() {
	var list wire.VMs
	for _, u := range d.upstreams {
		list.VMs = append(list.VMs, ports.VM{
			ID: u.id, Role: u.role, Place: u.site.place(), Address: u.relay.address(), Target: u.target, Leaving: d.leaving[u.id],
		})
	}
	for _, n := range d.nodes {
		list.VMs = append(list.VMs, ports.VM{ID: n.id, Role: ports.RoleEntry, Place: n.site.place(), Address: n.peers.address()})
	}
	d.post(d.platformURL+platformsim.PathSetVMs, list)
}

func (d *deployment) prepareNode(s site, id string, entry settingsOf) {
	d.nodes[id] = &nodeProc{
		id: id, site: s, entry: entry,
		peers: newRelay(d.t, ""), platform: newRelay(d.t, strings.TrimPrefix(d.platformURL, "http://")),
	}
}

const nodeSettings = `
node: {id: %s, region: %s, failure_domain: %s}
listen: {caller: %q, peer: %q, admin: %q, advertised_peer: %q}
platform: {url: "http://%s"}
time_limits: {header: 2s, request: 55s, progress: %s}
drain: {entry_ttl: 1s, max: 2m}
heartbeat_interval: %s
`

// maxPortTries bounds the tries to start a node on ports that others take first.
const maxPortTries = 10

// startNode starts a node on free ports.
func (d *deployment) startNode(n *nodeProc) {
	d.t.Helper()
	for range maxPortTries {
		if d.tryNode(n) {
			return
		}
	}
	d.t.Fatalf("no free ports for node %s: %s", n.id, n.out.String())
}

func (d *deployment) tryNode(n *nodeProc) bool {
	ports := freePorts(d.t, 3)
	n.caller = ports[0]
	n.admin.Store(&ports[2])
	n.peers.setTarget(ports[1])
	place := n.site.place()
	progress := "1s"
	if n.entry.heartbeat != "100ms" {
		progress = "20s"
	}
	text := fmt.Sprintf(nodeSettings, n.id, place.Region, place.FailureDomain, ports[0], ports[1], ports[2],
		n.peers.address(), n.platform.address(), progress, n.entry.heartbeat)
	path := filepath.Join(d.t.TempDir(), n.id+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	n.process = start(d.t, n.id, nodeBinary, "--settings", path)
	up := false
	waitFor(d.t, n.id+" to listen", func() bool {
		_, err := d.tryStatus(n)
		up = err == nil
		return up || n.ended()
	})
	if n.ended() && !strings.Contains(n.out.String(), "address already in use") {
		d.t.Fatalf("node %s ended: %s", n.id, n.out.String())
	}
	return up && !n.ended()
}

var admin = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (d *deployment) tryStatus(n *nodeProc) (adminapi.Status, error) {
	var st adminapi.Status
	return st, getJSON("http://"+*n.admin.Load()+adminapi.StatusPath, &st)
}

func getJSON(url string, out any) error {
	resp, err := admin.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// get reads JSON from a stand-in or a node that must answer.
func (d *deployment) get(url string, out any) {
	d.t.Helper()
	if err := getJSON(url, out); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) post(url string, in any) {
	d.t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		d.t.Fatal(err)
	}
	resp, err := admin.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(resp.Body)
		d.t.Fatalf("POST %s: %s: %s", url, resp.Status, text)
	}
}

func (d *deployment) platformFaults(f ...platformsim.Fault) {
	d.t.Helper()
	if f == nil {
		f = []platformsim.Fault{}
	}
	d.post(d.platformURL+platformsim.PathFaults, f)
}

func (d *deployment) upstreamFaults(id string, f ...faults.Fault) {
	d.t.Helper()
	if f == nil {
		f = []faults.Fault{}
	}
	d.post("http://"+d.upstreams[id].real+faults.Path, f)
}

// waitReady waits until every node serves and knows all nodes and load.
func (d *deployment) waitReady() {
	d.t.Helper()
	for _, n := range d.nodes {
		waitFor(d.t, n.id+" to know the deployment", func() bool { return d.knowsAll(n) })
	}
	var reaching sync.WaitGroup
	var missing atomic.Int64
	for _, n := range d.nodes {
		for _, s := range d.sites {
			reaching.Go(func() {
				end := time.Now().Add(hangTimeout)
				for !d.reaches(n, s) {
					if time.Now().After(end) {
						missing.Add(1)
						return
					}
					time.Sleep(pollInterval)
				}
			})
		}
	}
	reaching.Wait()
	if missing.Load() > 0 {
		d.t.Fatalf("hung while waiting for every node to reach every region")
	}
}

// reaches tells if a node gets answers from the upstreams of a region.
func (d *deployment) reaches(n *nodeProc, s site) bool {
	key := "key-" + s.region
	if s.engines > 0 && d.ask(n, key, "ready?", 1).finish().status != http.StatusOK {
		return false
	}
	return s.services == 0 || call(n, key, http.MethodGet, "/services/"+serviceName+"/ready", nil, "").status == http.StatusOK
}

func (d *deployment) knowsAll(n *nodeProc) bool {
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
		has := s.engines+s.services > 0
		if has && s.region != n.site.region && !known[s.place().FailureDomain] {
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

// waitLogged waits until a node has logged an event.
func (d *deployment) waitLogged(node, event string) {
	d.t.Helper()
	waitFor(d.t, node+" to log "+event, func() bool { return strings.Contains(d.nodes[node].out.String(), event) })
}

func (d *deployment) version(n *nodeProc) domain.ListsVersion {
	st, err := d.tryStatus(n)
	if err != nil {
		return 0
	}
	return st.Lists.Version
}

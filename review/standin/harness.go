package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

// Figures of a small deployment, as in the site file that the claims name.
const (
	callerHost        = "ficu95.example"
	heartbeatInterval = 1200 * time.Millisecond
	memoryMB          = 284
	graceS            = 8
	contactTime       = 5 * time.Second
	binary            = "target/crocusspread"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is the deployment of a case: the platform's store, nodes and servers.
type fleet struct {
	rec   *recorder
	dir   string
	net   string // the first three bytes of the loopback addresses of the nodes
	zones map[string]string

	store        *storesim.Store
	storeAddress string

	mu        sync.Mutex
	processes []*exec.Cmd
}

// newFleet starts the store. zones maps each zone to its region.
func newFleet(rec *recorder, zones map[string]string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, zones: zones, store: storesim.New()}
	f.net = fmt.Sprintf("127.%d.%d.", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store.Handler()) }()
	return f, nil
}

// close ends all processes that the case started and removes its folder.
func (f *fleet) close() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	for _, p := range processes {
		_ = p.Wait()
	}
	_ = os.RemoveAll(f.dir)
}

// spawn starts a process, whose output goes to a file of the case's folder.
func (f *fleet) spawn(name string, environment []string, path string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}, environment...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, cmd)
	f.mu.Unlock()
	f.rec.log("started %s as process %d", name, cmd.Process.Pid)
	return cmd, nil
}

// freePort returns a port that is free at an address.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// node is a running node.
type node struct {
	name                             string
	front, ready, control, directory string
	zone                             string
	settings                         string
	process                          *exec.Cmd
	fleet                            *fleet
}

// startNodes starts one node for each zone in the list and waits until all are ready.
func (f *fleet) startNodes(zones ...string) ([]*node, error) {
	var nodes []*node
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, fleet: f}
		ip := f.net + fmt.Sprint(i+1)
		for _, address := range []*string{&n.front, &n.ready, &n.control, &n.directory} {
			var err error
			if *address, err = freePort(ip); err != nil {
				return nil, err
			}
		}
		nodes = append(nodes, n)
	}
	var seeds []string
	for _, n := range nodes[:min(3, len(nodes))] {
		seeds = append(seeds, n.control)
	}
	for _, n := range nodes {
		n.settings = filepath.Join(f.dir, n.name+".yaml")
		if err := os.WriteFile(n.settings, []byte(n.settingsText(seeds)), 0o644); err != nil {
			return nil, err
		}
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	for _, n := range nodes {
		if !eventually(10*time.Second, n.isReady) {
			return nil, fmt.Errorf("node %s is not ready", n.name)
		}
	}
	time.Sleep(2 * time.Second) // the nodes learn of each other
	return nodes, nil
}

func (n *node) start() (err error) {
	n.process, err = n.fleet.spawn(n.name, []string{"CROCUSSPREAD_CONFIG=" + n.settings}, binary, "--platform", "--metrics-port", "9464")
	return err
}

func (n *node) isReady() bool {
	resp, err := http.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (n *node) signal(s syscall.Signal) {
	n.fleet.rec.log("signal %v to %s", s, n.name)
	_ = n.process.Process.Signal(s)
}

// settingsText returns the settings in the platform's format.
func (n *node) settingsText(seeds []string) string {
	var zones strings.Builder
	names := make([]string, 0, len(n.fleet.zones))
	for zone := range n.fleet.zones {
		names = append(names, zone)
	}
	sort.Strings(names)
	for _, zone := range names {
		fmt.Fprintf(&zones, "  %s: %q\n", zone, n.fleet.zones[zone])
	}
	encodedSeeds, _ := json.Marshal(seeds) // a list of strings can always be encoded
	ip, _, _ := strings.Cut(n.front, ":")
	return fmt.Sprintf(`node_name: %q
role: "node"
machine_class: "front"
serves: ["front", "control", "directory"]
ip: %q
zone: %q
region: %q
zones:
%slisten:
  front: %q
  ready: %q
  control: %q
  directory: %q
seeds: %s
bootstrap: true
in_fault_budget: false
limits:
  cpu_share: 0.4
  cores: 1
  memory_mb: %d
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
bounds:
  contact_ms: 5000
  drain_ms: 3000
  grace_s: %d
  loss_slack_ms: 200
  config_apply_ms: 3000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: 58
  ttl_max_s: 5
provider:
  address: %q
  form: "kv"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`, n.name, ip, n.zone, n.fleet.zones[n.zone], zones.String(), n.front, n.ready, n.control, n.directory, encodedSeeds, memoryMB, graceS, n.fleet.storeAddress)
}

// route returns a route of the configuration; change sets further fields.
func route(name, prefix, kind, service string, change map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": callerHost, "path_prefix": prefix, "kind": kind, "timeout_ms": 8000, "target_latency_ms": 800,
		"priority": 1, "service": service, "max_attempts": 1, "allowed_regions": []string{}, "resumable": false, "gap_aim_ms": 0,
	}
	for key, value := range change {
		r[key] = value
	}
	return r
}

// configure writes a version of the configuration, as the operator does.
func (f *fleet) configure(version int, maxConnections int, routes ...map[string]any) {
	services := make(map[string]bool)
	for _, r := range routes {
		services[r["service"].(string)] = true
	}
	var list []any
	for name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/healthz", "max_connections": maxConnections, "cold_start_s": 0, "cold_per_s": 0})
	}
	encoded, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // maps of plain values can always be encoded
	}
	f.store.Put("op/config", encoded)
	f.rec.log("configuration %d acknowledged", version)
}

// register writes the entry of a server at once and with each heartbeat until stop is called. If
// keepEntry is set the entry stays then, as that of a server that crashed.
func (f *fleet) register(id, service, zone, address string, slots int) (stop func(keepEntry bool)) {
	born, done := time.Now().UnixMilli(), make(chan struct{})
	write := func(seq int) {
		encoded, err := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
			"cold_remaining_ms": 0, "seq": seq, "born": born,
		})
		if err != nil {
			panic(err) // a map of plain values can always be encoded
		}
		f.store.Put("servers/"+id, encoded)
	}
	write(1)
	f.rec.log("server %s of service %s registered at %s", id, service, address)
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-done:
				return
			case <-time.After(heartbeatInterval):
				write(seq)
			}
		}
	}()
	return func(keepEntry bool) {
		close(done)
		remove := func() { f.store.Delete("servers/" + id) }
		if !keepEntry {
			remove()
			return
		}
		time.AfterFunc(3*heartbeatInterval, remove) // the store removes it after three heartbeats of silence
	}
}

// eventually waits for a condition and reports whether it was met in time.
func eventually(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}

// Command lab2 plays the cases of the second review: a small deployment of real nodes as separate
// processes on loopback addresses, with the project's stand-ins of the store and of the servers.
//
//	lab2 CASE RECORD
//
// plays a case, writes what was sent, answered and run to the file RECORD, and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

// cases holds the cases by number.
var cases = map[string]func(l *lab) (broken bool){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		return 2
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		fail("stopped from outside")
	}()
	current = l
	l.note("case %s, disruption: %v", os.Args[1], l.trouble)
	if cases[os.Args[1]](l) {
		l.note("RULE BROKEN")
		return 1
	}
	l.note("rule held")
	return 0
}

// lab is a deployment: the store, the nodes and the record of what clients and servers see.
type lab struct {
	trouble bool
	dir     string
	store   *storesim.Store
	server  *httptest.Server
	start   time.Time
	nodes   []*node
	version int

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	sent   int
}

func newLab(record string) (*lab, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "lab2")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", dir: temporary, store: storesim.New(), start: time.Now(), file: file, record: bufio.NewWriter(file)}
	l.server = httptest.NewServer(l.store.Handler())
	return l, nil
}

// note writes a line to the record and to the standard output.
func (l *lab) note(format string, args ...any) {
	l.log(format, args...)
	fmt.Printf("%7.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// log writes a line to the record only.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%7.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) close() {
	for _, n := range l.nodes {
		if n.cmd != nil {
			n.kill()
		}
	}
	l.server.CloseClientConnections()
	l.server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Flush()
	_ = l.file.Close()
	_ = os.RemoveAll(l.dir)
}

// current is the lab of this process.
var current *lab

// fail ends a case that could not run.
func fail(format string, args ...any) {
	current.note("could not run: %s", fmt.Sprintf(format, args...))
	current.close()
	os.Exit(2)
}

// host is the host of all routes.
const host = "shop.example"

// route is a route in the operator's document.
type route map[string]any

// configure publishes a configuration of the services with the given names.
func (l *lab) configure(services []string, list ...route) {
	l.version++
	var all []any
	for _, name := range services {
		all = append(all, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0})
	}
	text, err := json.Marshal(map[string]any{"version": l.version, "routes": list, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	if err != nil {
		fail("encode the configuration: %v", err)
	}
	l.store.Put("op/config", text)
	l.note("the operator writes configuration %d", l.version)
}

// node is one machine with its process.
type node struct {
	lab                              *lab
	name, ip                         string
	front, ready, control, directory string
	settings                         string
	mu                               sync.Mutex
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, n int) []int {
	var ports []int
	var open []net.Listener
	for range n {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fail("no free port at %s: %v", ip, err)
		}
		open = append(open, listener)
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	for _, listener := range open {
		_ = listener.Close()
	}
	return ports
}

// metricsPort is that of the deploy file.
const metricsPort = "9464"

// freeNetwork returns the first three bytes of loopback addresses that no other run uses.
func freeNetwork() string {
	for range 100 {
		network := fmt.Sprintf("127.0.%d", 20+rand.IntN(230))
		if listener, err := net.Listen("tcp", network+".1:"+metricsPort); err == nil {
			_ = listener.Close()
			return network
		}
	}
	fail("no free loopback addresses")
	return ""
}

// zone is a zone with its region and its number of machines.
type zone struct {
	name, region string
	machines     int
}

// deploy writes the settings of all machines and starts their processes.
func (l *lab) deploy(zones ...zone) {
	regions := ""
	for _, z := range zones {
		regions += fmt.Sprintf("  %s: %q\n", z.name, z.region)
	}
	var seeds []string
	network := freeNetwork()
	for _, z := range zones {
		for i := range z.machines {
			n := &node{lab: l, name: fmt.Sprintf("front-%s-%d", z.name, i+1), ip: fmt.Sprintf("%s.%d", network, len(l.nodes)+1)}
			p := freePorts(n.ip, 4)
			n.front, n.ready, n.control, n.directory = fmt.Sprintf("%s:%d", n.ip, p[0]), fmt.Sprintf("%s:%d", n.ip, p[1]), fmt.Sprintf("%s:%d", n.ip, p[2]), fmt.Sprintf("%s:%d", n.ip, p[3])
			n.settings = filepath.Join(l.dir, n.name+".yaml")
			l.nodes = append(l.nodes, n)
			if len(seeds) < 3 && i == 0 {
				seeds = append(seeds, n.control)
			}
		}
	}
	i := 0
	for _, z := range zones {
		for range z.machines {
			l.nodes[i].write(z, regions, seeds)
			i++
		}
	}
	for _, n := range l.nodes {
		n.launch()
	}
	l.awaitReady()
}

func (n *node) write(z zone, regions string, seeds []string) {
	text := fmt.Sprintf(`node_name: %q
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
port_range: [7660, 7675]
seeds: ["%s"]
bootstrap: true
limits:
  cpu_share: 0.4
  cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"]
bounds:
  contact_ms: 5000
  drain_ms: 3000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 3000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: 58
  cold_over: 1.5
  cold_slack: 3
  evacuate_ms: 5000
  recovery_s: 12
  ttl_max_s: 5
provider:
  address: %q
  form: "kv"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`, n.name, n.ip, z.name, z.region, regions, n.front, n.ready, n.control, n.directory, strings.Join(seeds, `", "`), n.lab.server.Listener.Addr().String())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		fail("write settings: %v", err)
	}
}

// launch starts the process as the deploy file says.
func (n *node) launch() {
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("open the log: %v", err)
	}
	cmd := exec.Command("target/crocusspread", "--platform", "--metrics-port", metricsPort)
	cmd.Env = append(os.Environ(), "CROCUSSPREAD_CONFIG="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		fail("start %s: %v", n.name, err)
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.lab.log("process %d of %s ended: %v", cmd.Process.Pid, n.name, err)
		_ = log.Close()
		close(exited)
	}()
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// kill ends the node's process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until all nodes are ready and each names all of its region in its directory.
func (l *lab) awaitReady() {
	for _, n := range l.nodes {
		l.await("node "+n.name+" is ready", func() bool {
			resp, err := http.Get("http://" + n.ready + "/api/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
	l.note("all %d nodes are ready", len(l.nodes))
}

// await waits for a condition.
func (l *lab) await(what string, ok func() bool) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	fail("not met in 20 s: %s", what)
}

// answer is what a client sees of a request.
type answer struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
}

// id returns the ID of a new client attempt.
func (l *lab) id(kind string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	return fmt.Sprintf("%s-%04d", kind, l.sent)
}

// send makes a request at a node on a connection of its own, as clients do.
func (n *node) send(ctx context.Context, id, method, target, body string, header ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+target, strings.NewReader(body))
	if err != nil {
		return answer{id: id, err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline-Ms", "6000")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	n.lab.log("client: %s %s to %s, id %s %v", method, target, n.name, id, header)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		n.lab.log("client: %s got no answer: %v", id, err)
		return answer{id: id, err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	a := answer{id: id, status: resp.StatusCode, body: string(content), header: resp.Header, err: err}
	n.lab.log("client: %s got %d, seal %q, error %v, body %q", id, a.status, resp.Header.Get("X-Response-Seal"), err, shorten(a.body))
	return a
}

func shorten(s string) string {
	if len(s) > 400 {
		return s[:400] + "..."
	}
	return s
}

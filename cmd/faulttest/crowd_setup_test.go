package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

// The tests with crowds check that clients outside the limits neither end a process nor keep
// ordinary callers from it. The limits of the process are lowered, so that a small crowd exceeds
// them.
const (
	// crowdMemoryMB and crowdMaxFDs are the limits of the process; fileFDs of the descriptors
	// are for files, as on the platform.
	crowdMemoryMB = 96
	crowdMaxFDs   = 1000
	fileFDs       = 200
	// crowdConnections is the number of clients that each hold a connection, which alone
	// exceeds the descriptors.
	crowdConnections = 1500
	// crowdFloods is the number of clients that each send without end.
	crowdFloods = 64
	// crowdBodies is the number of clients that each send most of a body of the maximum length;
	// together they exceed the memory.
	crowdBodies = 64
	// crowdReaders is the number of clients that do not read their response, which is larger
	// than what sockets buffer.
	crowdReaders  = 700
	unreadBytes   = 16 << 20
	crowdMaxBody  = 4 << 20
	crowdMaxHead  = 16 << 10
	crowdHeadTime = 3 * time.Second
	// crowdHold is how long the whole crowd remains, longer than the time for a head.
	crowdHold = 4 * time.Second
	// dripInterval is the time between two bytes of a client that sends slowly.
	dripInterval = 500 * time.Millisecond
	// crowdReconnects is how often a client whose connection was closed opens another one, and
	// reconnectPause the time before.
	crowdReconnects = 5
	reconnectPause  = 500 * time.Millisecond
)

// crowdNode is a node with lowered limits. Store and upstream run in the test process.
type crowdNode struct {
	*process
	entry, ready, directory, peer, metrics string
	store                                  *storesim.Store
}

// newCrowdNode starts a node and waits until it serves a request.
func newCrowdNode(t *testing.T) *crowdNode {
	store := storesim.New()
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close() })
	upstream := httptest.NewServer(http.HandlerFunc(serveCrowd))
	t.Cleanup(func() { upstream.CloseClientConnections(); upstream.Close() })
	put := func(key string, doc map[string]any) {
		text, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		store.Put(key, text)
	}
	put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "app", "host": soakHost, "path_prefix": "/", "kind": "safe", "timeout_ms": 30000,
			"target_latency_ms": 1000, "priority": 1, "service": "app", "max_attempts": 2}},
		"services": []any{map[string]any{"name": "app", "max_connections": 4000}},
		"limits": map[string]any{"max_header_bytes": crowdMaxHead, "max_body_bytes": crowdMaxBody,
			"header_timeout_ms": crowdHeadTime.Milliseconds(), "idle_timeout_ms": 15000},
	})
	put("servers/u-west", map[string]any{"service": "app", "address": upstream.Listener.Addr().String(), "zone": "west-a",
		"version": "v1", "slots": 2000, "state": "ready", "seq": 1, "born": 1})
	ports := freePorts(t, 5)
	n := &crowdNode{entry: ports[0], ready: ports[1], directory: ports[2], peer: ports[3], metrics: ports[4], store: store}
	text, err := json.Marshal(map[string]any{ // JSON is YAML too
		"node_name": "n", "zone": "west-a", "region": "west", "zones": map[string]string{"west-a": "west"},
		"listen":   map[string]string{"front": n.entry, "ready": n.ready, "directory": n.directory, "control": n.peer},
		"limits":   map[string]any{"cpu_share": 1, "cores": 1, "memory_mb": crowdMemoryMB, "max_fds": crowdMaxFDs},
		"bounds":   map[string]any{"grace_s": 8, "retry_budget_ratio": 0.2, "retry_budget_slack": 58, "budget_window_s": 10, "ttl_max_s": 5},
		"provider": map[string]any{"address": storeServer.Listener.Addr().String(), "ttl_min_ms": 1000},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	n.process = start(t, "n", nodeBinary, "--platform", "--settings", path, "--metrics-port", n.metrics[strings.LastIndex(n.metrics, ":")+1:])
	waitFor(t, "the node to serve a request", n.serves)
	return n
}

// serveCrowd is the upstream: it answers /unread with a long body.
func serveCrowd(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	w.Header().Set("X-Server-Load", "1,0,2000")
	if r.URL.Path != "/unread" {
		_, _ = io.WriteString(w, "answer") // the client may have disconnected
		return
	}
	piece := make([]byte, 32<<10)
	for sent := 0; sent < unreadBytes; sent += len(piece) {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// lastCrowdID numbers the ordinary requests.
var lastCrowdID atomic.Int64

// serves reports whether the node answers an ordinary request on a new connection.
func (n *crowdNode) serves() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.entry+"/ordinary", strings.NewReader("body"))
	if err != nil {
		return false
	}
	req.Host = soakHost
	req.Header.Set("X-Request-Id", fmt.Sprint("ordinary-", lastCrowdID.Add(1)))
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(text) == "answer"
}

// peakMemoryMB returns the largest resident size that a process has had, zero if it has exited.
func (p *process) peakMemoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// openDescriptors returns the number of open descriptors of a process, zero if it has exited.
func (p *process) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// clientBehaviour is what one client of a crowd does on a connection. It returns when the connection
// has been closed, or earlier if the client only holds the connection from then on.
type clientBehaviour func(c net.Conn)

// crowd is a number of clients with the same behaviour.
type crowd struct {
	stop    chan struct{}
	mu      sync.Mutex
	open    map[net.Conn]bool
	running sync.WaitGroup
	opened  atomic.Int64
}

// startCrowd starts clients, spread over the addresses. Each opens another connection when its
// own is closed, at most crowdReconnects times.
func startCrowd(t *testing.T, addresses []string, clients int, do clientBehaviour) *crowd {
	c := &crowd{stop: make(chan struct{}), open: make(map[net.Conn]bool)}
	for i := range clients {
		c.running.Go(func() { c.run(addresses[i%len(addresses)], do) })
	}
	t.Cleanup(c.end)
	return c
}

func (c *crowd) run(address string, do clientBehaviour) {
	for range 1 + crowdReconnects {
		select {
		case <-c.stop:
			return
		default:
		}
		if connection, err := net.DialTimeout("tcp", address, hangTimeout); err == nil && c.add(connection) {
			c.opened.Add(1)
			do(connection)
			c.hold(connection)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(reconnectPause):
		}
	}
}

// add records a connection unless the crowd has ended.
func (c *crowd) add(connection net.Conn) bool {
	_ = connection.(*net.TCPConn).SetLinger(0) // leaves no connections in TIME_WAIT
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		_ = connection.Close()
		return false
	}
	c.open[connection] = true
	return true
}

// hold waits until the connection is closed by the node or by the end of the crowd.
func (c *crowd) hold(connection net.Conn) {
	var one [1]byte
	for {
		if _, err := connection.Read(one[:]); err != nil {
			break
		}
	}
	_ = connection.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, connection)
}

// end closes all connections and waits until all clients have ended.
func (c *crowd) end() {
	c.mu.Lock()
	for connection := range c.open {
		_ = connection.Close()
	}
	if c.open != nil {
		close(c.stop)
	}
	c.open = nil
	c.mu.Unlock()
	c.running.Wait()
}

// checkCrowd lets a crowd loose on a process and checks that the process lives and stays inside
// its limits, that it serves an ordinary request while the crowd is there, and after it.
func checkCrowd(t *testing.T, p *process, addresses []string, clients int, do clientBehaviour, serves func() bool) {
	t.Helper()
	stopSampling := make(chan struct{})
	var sampling sync.WaitGroup
	peakFDs := 0
	sampling.Go(func() {
		for {
			peakFDs = max(peakFDs, p.openDescriptors())
			select {
			case <-stopSampling:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	c := startCrowd(t, addresses, clients, do)
	waitFor(t, "the crowd to connect", func() bool { return c.opened.Load() >= int64(clients) || p.exited() })
	select {
	case <-time.After(crowdHold):
	case <-p.done:
	}
	served := waitOrGiveUp(serves, p)
	peakMB := p.peakMemoryMB()
	close(stopSampling)
	sampling.Wait()
	c.end()
	t.Logf("peak: %d MB resident, %d descriptors; %d connections opened; request served beside the crowd: %v", peakMB, peakFDs, c.opened.Load(), served)
	if p.exited() {
		t.Fatalf("the process ended: %v", p.err)
	}
	if !served {
		t.Errorf("no ordinary request was served beside the crowd")
	}
	if peakMB >= crowdMemoryMB {
		t.Errorf("the process had %d MB resident, its limit is %d MB", peakMB, crowdMemoryMB)
	}
	if limit := crowdMaxFDs - fileFDs; peakFDs >= limit {
		t.Errorf("the process had %d descriptors open, its limit is %d", peakFDs, limit)
	}
	waitFor(t, "an ordinary request after the crowd", serves)
}

// waitOrGiveUp waits until the condition is met, the process has exited or hangTimeout is over,
// and reports whether the condition was met.
func waitOrGiveUp(condition func() bool, p *process) bool {
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline) && !p.exited(); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

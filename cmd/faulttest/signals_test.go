package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/routedsim"
	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
)

// newSignalDeployment starts a node that routes by routing table, with one upstream. The
// node's metrics are served at the returned address.
func newSignalDeployment(t *testing.T) (n *soakNode, u *soakUpstream, metrics string) {
	store := storesim.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d := &soakDeployment{t: t, store: store, storeAddress: server.Listener.Addr().String(), timeout: plannedTimeout}
	d.publishRoutes()
	u = d.addUpstream("app", "west", "u-west")
	reserveProcesses(t, 1)
	d.addNode("west", 0, nil)
	n = d.nodes[0]
	metrics = freePorts(t, 1)[0]
	n.metricsPort = metrics[strings.LastIndex(metrics, ":")+1:]
	n.start(t, nil)
	d.waitServing("after the start")
	return n, u, metrics
}

// signalledRequests is the number of requests in flight when a node receives signals, and
// signalledWork how long each runs.
const (
	signalledRequests = 6
	signalledWork     = 1500 * time.Millisecond
)

// startCalls sends requests that must run at most once and returns once all of them run.
// The returned function waits for the responses and checks that all are complete.
func startCalls(t *testing.T, n *soakNode, u *soakUpstream) (check func()) {
	u.SetBehaviour(routedsim.Behaviour{ProcessingTime: signalledWork})
	before := len(u.Executions())
	var calls sync.WaitGroup
	responses := make([]soakResponse, signalledRequests)
	for i := range responses {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
			defer cancel()
			responses[i] = n.sendWithin(ctx, &http.Transport{DisableKeepAlives: true}, "call", "signals", plannedTimeout)
		})
	}
	waitFor(t, "the requests to run", func() bool { return len(u.Executions()) == before+signalledRequests })
	return func() {
		calls.Wait()
		for _, r := range responses {
			if r.status != http.StatusOK || r.truncated || r.problem() != "" {
				t.Errorf("request %s got status %d, truncated %v, %s; want a complete answer", r.id, r.status, r.truncated, r.problem())
			}
		}
	}
}

// TestDrainingNodeFinishesRequestsWhateverSignalsArrive guards against a signal whose
// default effect ends a node that drains, together with the requests in flight.
func TestDrainingNodeFinishesRequestsWhateverSignalsArrive(t *testing.T) {
	t.Parallel()
	const hangup, interrupt, terminate, quit, abort = syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM, syscall.SIGQUIT, syscall.SIGABRT
	cases := []struct {
		name    string
		signals []syscall.Signal
		// settings changes the settings file before the signals.
		settings func(path string) error
	}{
		{"SIGHUP", []syscall.Signal{terminate, hangup}, nil},
		{"SIGHUP in series", []syscall.Signal{hangup, hangup, terminate, hangup, hangup, hangup, hangup, hangup}, nil},
		{"SIGTERM and SIGINT again", []syscall.Signal{terminate, terminate, interrupt, hangup, interrupt, terminate}, nil},
		{"SIGINT first", []syscall.Signal{interrupt, interrupt, hangup}, nil},
		{"SIGQUIT", []syscall.Signal{quit, quit, hangup}, nil},
		{"SIGABRT", []syscall.Signal{abort, abort, hangup}, nil},
		{"SIGPIPE, SIGUSR1 and SIGALRM", []syscall.Signal{terminate, syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGALRM}, nil},
		{"SIGHUP, settings missing", []syscall.Signal{hangup, terminate, hangup}, os.Remove},
		{"SIGHUP, settings empty", []syscall.Signal{hangup, terminate, hangup}, func(path string) error { return os.Truncate(path, 0) }},
		{"SIGHUP, settings half written", []syscall.Signal{hangup, terminate, hangup}, func(path string) error { return os.Truncate(path, 200) }},
		{"SIGHUP, settings invalid", []syscall.Signal{hangup, terminate, hangup}, func(path string) error { return os.WriteFile(path, []byte("seeds: {"), 0o600) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n, u, _ := newSignalDeployment(t)
			check := startCalls(t, n, u)
			if c.settings != nil {
				if err := c.settings(n.settings); err != nil {
					t.Fatal(err)
				}
			}
			p := n.process()
			for _, s := range c.signals {
				p.signal(s)
				time.Sleep(10 * time.Millisecond)
			}
			check()
			if code := p.exitCode(t); code != 0 {
				t.Errorf("the node ended: %v, want exit code 0", p.err)
			}
		})
	}
}

// TestNodeServesOnWithoutReaderOfItsLog guards against the end of a node whose log can't
// be written: its reader is gone or does not read, or the disk is full. It then counts
// the lines that it drops.
func TestNodeServesOnWithoutReaderOfItsLog(t *testing.T) {
	t.Parallel()
	n, u, metrics := newSignalDeployment(t)
	p := n.process()
	for round := range 3 {
		check := startCalls(t, n, u)
		p.closeOutput()
		n.reload()
		check()
		dropped := 0
		waitFor(t, "the dropped log lines to be counted", func() bool {
			dropped = readMetric(t, metrics, telemetry.LogLinesDropped)
			return dropped > round*signalledRequests
		})
		before := strings.Count(p.out.String(), "log_lines_dropped")
		p.reopenOutput()
		waitFor(t, "the log to be written again", func() bool {
			return strings.Count(p.out.String(), "log_lines_dropped") > before
		})
	}
	p.closeOutput()
	p.terminate()
	if code := p.exitCode(t); code != 0 {
		t.Errorf("the node ended: %v, want exit code 0", p.err)
	}
}

// TestNodeServesOnWhenItsLogCannotBeWritten guards against the end of a node whose
// output is full, blocked or closed from the start.
func TestNodeServesOnWhenItsLogCannotBeWritten(t *testing.T) {
	t.Parallel()
	cases := map[string]string{
		"disk full": `exec "$0" "$@" >/dev/full 2>&1`,
		"closed":    `exec "$0" "$@" >&- 2>&- <&-`,
		"blocked":   `exec "$0" "$@" >"OUTPUT" 2>&1`,
	}
	for name, script := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, u, metrics := newSignalDeployment(t)
			former := n.process()
			former.kill()
			// A pipe that is open but never read.
			fifo := t.TempDir() + "/output"
			if err := syscall.Mkfifo(fifo, 0o600); err != nil {
				t.Fatal(err)
			}
			unread, err := os.OpenFile(fifo, os.O_RDWR, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer unread.Close()
			n.wrapper = []string{"/bin/sh", "-c", strings.ReplaceAll(script, "OUTPUT", fifo)}
			n.start(t, former)
			waitFor(t, "the node to serve", func() bool { return n.sendOnce("call", "start").status == http.StatusOK })
			const lines = 400 // more than a pipe holds, together with the writer's queue
			for range lines {
				n.reload()
			}
			startCalls(t, n, u)()
			if name == "disk full" && readMetric(t, metrics, telemetry.LogLinesDropped) == 0 {
				t.Error("got no dropped log lines in the metrics, want some as the disk is full")
			}
			p := n.process()
			p.terminate()
			if code := p.exitCode(t); code != 0 {
				t.Errorf("the node ended: %v, want exit code 0", p.err)
			}
		})
	}
}

// readMetric returns the value of a metric; zero if it isn't served.
func readMetric(t *testing.T, address, name string) int {
	t.Helper()
	resp, err := adminClient.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	value := 0
	for {
		var metric string
		var v float64
		if _, err := fmt.Fscan(resp.Body, &metric, &v); err != nil {
			return value
		}
		if metric == name {
			value = int(v)
		}
	}
}

// TestStartingNodeIsNotEndedBySIGHUP guards against a node that is ended by SIGHUP while
// it starts.
func TestStartingNodeIsNotEndedBySIGHUP(t *testing.T) {
	t.Parallel()
	n, _, _ := newSignalDeployment(t)
	for range 10 {
		former := n.process()
		former.kill()
		n.start(t, former)
		p := n.process()
		startedAt := time.Now()
		for !p.handlesSignals() && time.Since(startedAt) < hangTimeout {
			time.Sleep(100 * time.Microsecond)
		}
		t.Logf("signals are handled %v after the start", time.Since(startedAt).Round(100*time.Microsecond))
		for range 5 {
			n.reload()
			time.Sleep(time.Millisecond)
		}
		waitFor(t, "the node to serve", func() bool {
			return p.exited() || n.sendOnce("safe", "start").status == http.StatusOK
		})
		if p.exited() {
			t.Fatalf("the node ended: %v, want it to serve", p.err)
		}
	}
}

// TestStartingNodeEndsBySIGTERM guards against a node that ignores, or reports as a
// failure, a stop that is requested while it starts.
func TestStartingNodeEndsBySIGTERM(t *testing.T) {
	t.Parallel()
	n, _, _ := newSignalDeployment(t)
	for delay := range 5 {
		former := n.process()
		former.kill()
		n.start(t, former)
		p := n.process()
		waitFor(t, "the node to handle signals", p.handlesSignals)
		time.Sleep(time.Duration(delay) * 4 * time.Millisecond)
		p.terminate()
		if code := p.exitCode(t); code != 0 {
			t.Errorf("SIGTERM %d ms after the start: the node ended: %v, want exit code 0", 4*delay, p.err)
		}
	}
}

// TestCommandsHandleSignals guards against commands of crocusctl that a signal ends
// instead of their own decision.
func TestCommandsHandleSignals(t *testing.T) {
	t.Parallel()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM, syscall.SIGQUIT} {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			reserveProcesses(t, 1)
			p, _ := startStandin(t, "platform", "platform", "")
			p.closeOutput()
			p.signal(syscall.SIGPIPE)
			p.signal(s)
			if code := p.exitCode(t); code != 0 {
				t.Errorf("the command ended: %v, want exit code 0", p.err)
			}
		})
	}
}

package benchmarks

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/platform"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/ports"
)

// BenchmarkOpenStreams opens streams through a node that runs as a separate process,
// and measures the memory of that process before and after. Callers share HTTP/2
// connections, because the memory of a caller's own connection is in the caller and
// the kernel. Each stream has its own connection to the engine.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 10_000
	for b.Loop() {
		p := startNodeProcess(b)
		before := p.memory(b)
		open := openStreams(b, p.caller, streams)
		after := p.memory(b)
		b.ReportMetric(float64(after-before)/streams, "B/stream")
		b.ReportMetric(float64(before)/(1<<20), "control-MB")
		for _, resp := range open {
			if resp != nil {
				resp.Body.Close()
			}
		}
		p.stop()
	}
}

// nodeProcess is a crocusspread process whose stand-ins run in the benchmark process.
type nodeProcess struct {
	command *exec.Cmd
	caller  string   // caller address
	closers []func() // close the stand-ins
}

// stop kills the process and closes the stand-ins.
func (p *nodeProcess) stop() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	for _, c := range p.closers {
		c()
	}
}

// memory returns the resident memory of the process, in bytes.
func (p *nodeProcess) memory(b *testing.B) int64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				b.Fatal(err)
			}
			return kb << 10
		}
	}
	b.Fatal("VmRSS not found in /proc status")
	return 0
}

// startNodeProcess starts a node with a simulated platform and a simulated engine.
func startNodeProcess(b *testing.B) *nodeProcess {
	b.Helper()
	p := &nodeProcess{}
	sim := platformsim.New(platformsim.Config{})
	platformAddress := p.serve(b, sim)
	engine := p.serve(b, enginesim.New(enginesim.Config{
		ID: "e", Models: []string{model}, Slots: 20_000, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1, TimeScale: 1,
		KeepAliveInterval: time.Hour,
	}))
	place := domain.Place{Region: "r", FailureDomain: "r-a"}
	sim.UpdateVM(ports.VM{ID: "e", Role: ports.RoleEngine, Place: place, Address: engine})
	applyBenchLists(b, platformAddress)
	p.caller = freeAddress(b)
	p.run(b, buildNode(b), fmt.Sprintf("node: {id: n, region: r, failure_domain: r-a}\nlisten: {caller: %q, peer: %q, admin: %q}\nplatform: {url: \"http://%s\"}\ntime_limits: {progress: 10m}\n",
		p.caller, freeAddress(b), freeAddress(b), platformAddress))
	return p
}

// buildNode builds the crocusspread binary and returns its path.
func buildNode(b *testing.B) string {
	b.Helper()
	binary := filepath.Join(b.TempDir(), "crocusspread")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/crocusspread").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	return binary
}

// run starts the binary with the given settings and waits until the node serves
// requests.
func (p *nodeProcess) run(b *testing.B, binary, settings string) {
	b.Helper()
	path := filepath.Join(b.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		b.Fatal(err)
	}
	p.command = exec.Command(binary, "--settings", path)
	stderr, err := p.command.StderrPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		b.Fatal(err)
	}
	waitForLine(b, bufio.NewScanner(stderr), "node_serving")
}

// waitForLine reads lines until one contains text, and then discards the rest in the
// background, so that the process does not block on a full pipe.
func waitForLine(b *testing.B, lines *bufio.Scanner, text string) {
	b.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			go func() {
				for lines.Scan() {
				}
			}()
			return
		}
	}
	b.Fatalf("the output of the node ended without %q", text)
}

// serve starts an HTTP server in the benchmark process and returns its address.
func (p *nodeProcess) serve(b *testing.B, h http.Handler) string {
	b.Helper()
	l, err := listenLoopback()
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: h}
	p.closers = append(p.closers, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// applyBenchLists stores benchLists in the platform's key-value service.
func applyBenchLists(b *testing.B, platformAddress string) {
	b.Helper()
	applier := lists.Applier{KV: platform.New("http://"+platformAddress, platform.Options{}).KV()}
	_, err := applier.Apply(context.Background(), lists.Proposal{
		ChangeID: "bench", Author: "bench", Reason: "bench", Time: time.Unix(0, 0), Document: benchLists(),
	})
	if err != nil {
		b.Fatal(err)
	}
}

// openStreams opens n streams over shared connections and waits for the response header
// of each.
func openStreams(b *testing.B, address string, n int) []*http.Response {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	open := make([]*http.Response, n)
	semaphore := make(chan struct{}, 2048)
	var wg sync.WaitGroup
	for i := range open {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			resp, err := post(client, address, chatBody(true, 3600), "")
			if err != nil {
				b.Error(err)
				return
			}
			open[i] = resp
		})
	}
	wg.Wait()
	return open
}

package benchmarks

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// BenchmarkNodeWork sends streamed requests through nodes that run as separate processes
// and measures their processor time per request. In "local" cases the entry node has
// engines of its own; in "forwarded" cases it has none and forwards to an executor in
// another failure domain. Engines add no delay, and 32 requests run concurrently.
func BenchmarkNodeWork(b *testing.B) {
	binary := buildNode(b)
	for _, tokens := range []int{16, 128, 512} {
		b.Run("local/tokens="+strconv.Itoa(tokens), func(b *testing.B) {
			startNodePair(b, binary, "r-b", 0).measure(b, 32, tokens)
		})
		b.Run("forwarded/tokens="+strconv.Itoa(tokens), func(b *testing.B) {
			startNodePair(b, binary, "r-a", 0).measure(b, 32, tokens)
		})
	}
}

// BenchmarkPacedStreams is BenchmarkNodeWork with engines that send 20 tokens per second
// on each stream, so that each token needs a separate write. One operation is a stream
// of 100 tokens. Run it with a -benchtime of twice the number of streams.
func BenchmarkPacedStreams(b *testing.B) {
	binary := buildNode(b)
	for _, streams := range []int{100, 200, 400} {
		b.Run("local/streams="+strconv.Itoa(streams), func(b *testing.B) {
			startNodePair(b, binary, "r-b", 20).measure(b, streams, 100)
		})
		b.Run("forwarded/streams="+strconv.Itoa(streams), func(b *testing.B) {
			startNodePair(b, binary, "r-a", 20).measure(b, streams, 100)
		})
	}
}

// nodePair is an entry node and a node in the failure domain of the engines. They are
// the same node if the entry node is in that failure domain.
type nodePair struct {
	entry, executor *nodeProcess
}

// startNodePair starts the nodes and engines that send tokensPerSecond on each stream,
// or without delay if it is zero.
func startNodePair(b *testing.B, binary string, entryDomain string, tokensPerSecond float64) *nodePair {
	b.Helper()
	engine := enginesim.Config{Models: []string{model}, Slots: 256, EventsPerFlush: 1, MaxExecutions: 16, DecodeTokensPerSecond: tokensPerSecond}
	if tokensPerSecond > 0 {
		engine.TimeScale = 1
	}
	enginePlace := domain.Place{Region: "r", FailureDomain: "r-b"}
	f, err := fleet.Start(fleet.Config{
		Domains:  []fleet.Domain{{Place: enginePlace, Engines: 4, Engine: engine}},
		Document: benchLists(),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	p := &nodePair{executor: startNode(b, f, binary, "executor", "r-b")}
	p.entry = p.executor
	if entryDomain != "r-b" {
		p.entry = startNode(b, f, binary, "entry", entryDomain)
	}
	p.waitServing(b)
	return p
}

// startNode starts a node process in a failure domain of the fleet.
func startNode(b *testing.B, f *fleet.Fleet, binary, id, fd string) *nodeProcess {
	b.Helper()
	peer := freeAddress(b)
	f.Platform.UpdateVM(ports.VM{
		ID: id, Role: ports.RoleEntry, Place: domain.Place{Region: "r", FailureDomain: domain.FailureDomain(fd)}, Address: peer,
	})
	p := &nodeProcess{caller: freeAddress(b)}
	p.run(b, binary, fmt.Sprintf("node: {id: %s, region: r, failure_domain: %s}\nlisten: {caller: %q, peer: %q, admin: %q}\nplatform: {url: %q}\n",
		id, fd, p.caller, peer, freeAddress(b), f.PlatformURL))
	b.Cleanup(p.stop)
	return p
}

// waitServing sends requests through the entry node until one succeeds.
func (p *nodePair) waitServing(b *testing.B) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	client := newClient(1)
	for ctx.Err() == nil {
		if resp, err := post(client, p.entry.caller, chatBody(false, 1), ""); err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("no request was served")
}

// measure runs b.N requests with the given concurrency and reports the metrics.
func (p *nodePair) measure(b *testing.B, concurrency, tokens int) {
	b.Helper()
	client := newClient(concurrency)
	entryBefore, executorBefore := p.entry.processorTime(b), p.executor.processorTime(b)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	b.ResetTimer()
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				receiveStream(b, client, p.entry.caller, tokens)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64((p.entry.processorTime(b)-entryBefore).Microseconds())/float64(b.N), "entry-us/request")
	if p.executor != p.entry {
		b.ReportMetric(float64((p.executor.processorTime(b)-executorBefore).Microseconds())/float64(b.N), "executor-us/request")
	}
	b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(p.entry.memory(b))/(1<<20), "RSS-MB")
}

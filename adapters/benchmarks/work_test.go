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

// BenchmarkNodeWork drives streamed requests through nodes that run as processes
// and reads what they spend on one request. "local" runs at the entry's own
// engines; "forwarded" has an entry without engines and an executor elsewhere.
// Engines do not delay, and 32 requests run at a time.
func BenchmarkNodeWork(b *testing.B) {
	binary := buildNode(b)
	for _, tokens := range []int{16, 128, 512} {
		b.Run("local/tokens="+strconv.Itoa(tokens), func(b *testing.B) {
			startWork(b, binary, "r-b", 0).drive(b, 32, tokens)
		})
		b.Run("forwarded/tokens="+strconv.Itoa(tokens), func(b *testing.B) {
			startWork(b, binary, "r-a", 0).drive(b, 32, tokens)
		})
	}
}

// BenchmarkPacedStreams is BenchmarkNodeWork with engines that send 20 tokens a
// second on each stream, so that each token is a write of its own. One operation
// is a stream of 100 tokens; run it with -benchtime of twice the streams.
func BenchmarkPacedStreams(b *testing.B) {
	binary := buildNode(b)
	for _, streams := range []int{100, 200, 400} {
		b.Run("local/streams="+strconv.Itoa(streams), func(b *testing.B) {
			startWork(b, binary, "r-b", 20).drive(b, streams, 100)
		})
		b.Run("forwarded/streams="+strconv.Itoa(streams), func(b *testing.B) {
			startWork(b, binary, "r-a", 20).drive(b, streams, 100)
		})
	}
}

// work is an entry and a node in the failure domain that has the engines; both
// are the same node if the entry stands there.
type work struct {
	entry, executor *nodeProcess
}

// startWork starts engines that send tokensPerSecond on each stream; zero for no
// delay.
func startWork(b *testing.B, binary string, entryDomain string, tokensPerSecond float64) *work {
	b.Helper()
	engine := enginesim.Config{Models: []string{model}, Slots: 256, EventsPerFlush: 1, KeepExecutions: 16, DecodeTokensPerSecond: tokensPerSecond}
	if tokensPerSecond > 0 {
		engine.TimeScale = 1
	}
	engines := domain.Place{Region: "r", FailureDomain: "r-b"}
	f, err := fleet.Start(fleet.Config{
		Domains:  []fleet.Domain{{Place: engines, Engines: 4, Engine: engine}},
		Document: benchLists(),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	w := &work{executor: startWorker(b, f, binary, "executor", "r-b")}
	w.entry = w.executor
	if entryDomain != "r-b" {
		w.entry = startWorker(b, f, binary, "entry", entryDomain)
	}
	w.waitServed(b)
	return w
}

func startWorker(b *testing.B, f *fleet.Fleet, binary, id, fd string) *nodeProcess {
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

// waitServed waits until the entry knows the way to an engine.
func (w *work) waitServed(b *testing.B) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	client := newClient(1)
	for ctx.Err() == nil {
		if resp, err := post(client, w.entry.caller, chatBody(false, 1), ""); err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("no request was served")
}

// drive runs b.N requests, so many at a time.
func (w *work) drive(b *testing.B, concurrency, tokens int) {
	b.Helper()
	client := newClient(concurrency)
	entry, executor := w.entry.processorTime(b), w.executor.processorTime(b)
	var left atomic.Int64
	left.Store(int64(b.N))
	b.ResetTimer()
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				relayOne(b, client, w.entry.caller, tokens)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64((w.entry.processorTime(b)-entry).Microseconds())/float64(b.N), "entry-us/request")
	if w.executor != w.entry {
		b.ReportMetric(float64((w.executor.processorTime(b)-executor).Microseconds())/float64(b.N), "executor-us/request")
	}
	b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(w.entry.memory(b))/(1<<20), "RSS-MB")
}

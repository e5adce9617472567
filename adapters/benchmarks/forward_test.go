package benchmarks

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/core/domain"
)

// startForwarding starts an entry node without upstreams and a node with engines in
// another region, so that every request is forwarded. oneWayDelay is the network delay
// between the regions.
func startForwarding(b *testing.B, oneWayDelay time.Duration, engines int, engine enginesim.Config) (entry, engineAddress string) {
	b.Helper()
	engine.Models = []string{model}
	document := benchLists()
	document.Regions = []domain.Region{"r", "s"}
	document.Plans[0].Regions = document.Regions
	f, err := fleet.Start(fleet.Config{
		Domains: []fleet.Domain{
			{Place: domain.Place{Region: "s", FailureDomain: "s-a"}, Nodes: 1},
			{Place: domain.Place{Region: "r", FailureDomain: "r-a"}, Nodes: 1, Engines: engines, Engine: engine},
		},
		InterRegionDelay: oneWayDelay,
		Document:         document,
		Adjust:           func(c *node.Config) { c.RequestTimeout = time.Hour },
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	entry = f.NodeIn("s-a").CallerAddress
	waitForwarded(b, entry)
	return entry, f.Engines[0].Address
}

// waitForwarded sends requests until one succeeds.
func waitForwarded(b *testing.B, entry string) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	client := newClient(1)
	for ctx.Err() == nil {
		if resp, err := post(client, entry, chatBody(false, 1), ""); err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.Fatal("no request was forwarded successfully")
}

// BenchmarkForward sends a short request alternately to an engine and through two
// nodes, and compares the times to the complete response.
func BenchmarkForward(b *testing.B) {
	entry, engine := startForwarding(b, 0, 1, enginesim.Config{Slots: 64})
	client := newClient(64)
	body := chatBody(false, 16)
	direct := hdrhistogram.New(1, maxLatency, precision)
	viaNode := hdrhistogram.New(1, maxLatency, precision)
	measure := func(address, id string, h *hdrhistogram.Histogram) {
		start := time.Now()
		resp, err := post(client, address, body, id)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	b.ResetTimer()
	for i := range b.N {
		measure(engine, "direct-"+strconv.Itoa(i), direct)
		measure(entry, "", viaNode)
	}
	b.ReportMetric(float64(viaNode.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-us")
	b.ReportMetric(float64(viaNode.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "added-p99-us")
}

// BenchmarkForwardTokens forwards streams through two nodes. One operation is one
// token.
func BenchmarkForwardTokens(b *testing.B) {
	const (
		streams         = 256
		tokensPerStream = 4096
	)
	entry, _ := startForwarding(b, 0, 4, enginesim.Config{Slots: streams, EventsPerFlush: 1, MaxExecutions: 16})
	client := newClient(streams)
	var remaining, received atomic.Int64
	remaining.Store(int64(b.N))
	b.ResetTimer()
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			for {
				n := min(tokensPerStream, remaining.Add(-tokensPerStream)+tokensPerStream)
				if n <= 0 {
					return
				}
				received.Add(int64(receiveStream(b, client, entry, int(n))))
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(received.Load())/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkForwardPrompt sends prompts of 1 MiB to a region with a one-way delay of
// 55 ms, eight concurrently over the single connection between two nodes.
func BenchmarkForwardPrompt(b *testing.B) {
	const (
		concurrency = 8
		promptBytes = 1 << 20
	)
	entry, _ := startForwarding(b, 55*time.Millisecond, 1, enginesim.Config{Slots: concurrency})
	client := newClient(concurrency)
	body := chatBody(false, 1)
	body = bytes.Replace(body, []byte("a short question"), bytes.Repeat([]byte("q"), promptBytes), 1)
	b.SetBytes(promptBytes)
	b.ResetTimer()
	var sent atomic.Int64
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for sent.Add(1) <= int64(b.N) {
				sendPrompt(b, client, entry, body)
			}
		})
	}
	wg.Wait()
}

// sendPrompt sends a request and discards the response.
func sendPrompt(b *testing.B, client *http.Client, entry string, body []byte) {
	resp, err := post(client, entry, body, "")
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

package benchmarks

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
)

const (
	maxLatency = int64(time.Minute / time.Microsecond) // microseconds
	precision  = 3                                     // significant digits of histograms
)

// BenchmarkEntryOverhead sends a short request alternately to an engine and through one
// node, and compares the times to the complete response.
func BenchmarkEntryOverhead(b *testing.B) {
	engine := enginesim.Config{
		Slots: 64, PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 2000, TimeScale: 1,
	}
	f := startFleet(b, 1, engine)
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
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	b.ResetTimer()
	for i := range b.N {
		measure(f.Engines[0].Address, "direct-"+strconv.Itoa(i), direct)
		measure(f.Nodes[0].CallerAddress, "", viaNode)
	}
	b.ReportMetric(float64(viaNode.ValueAtQuantile(50))/float64(direct.ValueAtQuantile(50)), "p50-ratio")
	b.ReportMetric(float64(viaNode.ValueAtQuantile(99))/float64(direct.ValueAtQuantile(99)), "p99-ratio")
	b.ReportMetric(float64(direct.ValueAtQuantile(50)), "direct-p50-us")
	b.ReportMetric(float64(viaNode.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-us")
}

// BenchmarkTokenRelay relays streams through one node without simulated delays. One
// operation is one token. Engines and callers run in the same process.
func BenchmarkTokenRelay(b *testing.B) {
	const (
		streams         = 256
		tokensPerStream = 4096
	)
	for _, perFlush := range []int{1, 8} {
		b.Run("events-per-flush="+strconv.Itoa(perFlush), func(b *testing.B) {
			f := startFleet(b, 4, enginesim.Config{Slots: streams, EventsPerFlush: perFlush, MaxExecutions: 16})
			client := newClient(streams)
			var remaining, received atomic.Int64
			remaining.Store(int64(b.N))
			b.ResetTimer()
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() {
					for remaining.Load() > 0 {
						n := min(tokensPerStream, remaining.Add(-tokensPerStream)+tokensPerStream)
						if n <= 0 {
							return
						}
						received.Add(int64(receiveStream(b, client, f.Nodes[0].CallerAddress, int(n))))
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(received.Load())/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// receiveStream sends a streamed request and returns the number of events received.
func receiveStream(b *testing.B, client *http.Client, address string, tokens int) int {
	resp, err := post(client, address, chatBody(true, tokens), "")
	if err != nil {
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	events, err := readStream(resp.Body)
	if err != nil {
		b.Error(err)
	}
	return events
}

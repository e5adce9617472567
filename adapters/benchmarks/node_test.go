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
	precision  = 3
)

// BenchmarkEntryOverhead asks a short question directly at an engine and through
// one node, in turn, and compares the times to the whole answer.
func BenchmarkEntryOverhead(b *testing.B) {
	engine := enginesim.Config{
		Slots: 64, PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 2000, TimeScale: 1,
	}
	f := startFleet(b, 1, engine)
	client := newClient(64)
	body := chatBody(false, 16)
	direct := hdrhistogram.New(1, maxLatency, precision)
	through := hdrhistogram.New(1, maxLatency, precision)
	ask := func(address, id string, h *hdrhistogram.Histogram) {
		begun := time.Now()
		resp, err := post(client, address, body, id)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
		_ = h.RecordValue(time.Since(begun).Microseconds())
	}
	b.ResetTimer()
	for i := range b.N {
		ask(f.Engines[0].Address, "direct-"+strconv.Itoa(i), direct)
		ask(f.Nodes[0].Caller, "", through)
	}
	b.ReportMetric(float64(through.ValueAtQuantile(50))/float64(direct.ValueAtQuantile(50)), "p50-ratio")
	b.ReportMetric(float64(through.ValueAtQuantile(99))/float64(direct.ValueAtQuantile(99)), "p99-ratio")
	b.ReportMetric(float64(direct.ValueAtQuantile(50)), "direct-p50-us")
	b.ReportMetric(float64(through.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-us")
}

// BenchmarkTokenRelay relays streams without modelled delays; each operation is
// one token. Engines and callers run in the same process.
func BenchmarkTokenRelay(b *testing.B) {
	const (
		streams         = 256
		tokensPerStream = 4096
	)
	for _, perFlush := range []int{1, 8} {
		b.Run("events-per-flush="+strconv.Itoa(perFlush), func(b *testing.B) {
			f := startFleet(b, 4, enginesim.Config{Slots: streams, EventsPerFlush: perFlush, KeepExecutions: 16})
			client := newClient(streams)
			var left, relayed atomic.Int64
			left.Store(int64(b.N))
			b.ResetTimer()
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() {
					for left.Load() > 0 {
						n := min(tokensPerStream, left.Add(-tokensPerStream)+tokensPerStream)
						if n <= 0 {
							return
						}
						relayed.Add(int64(relayOne(b, client, f.Nodes[0].Caller, int(n))))
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(relayed.Load())/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

func relayOne(b *testing.B, client *http.Client, address string, tokens int) int {
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

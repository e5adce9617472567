package explain

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// BenchmarkLog fills a log and reports the memory of one record, with the steps of
// a request that is forwarded to another failure domain.
func BenchmarkLog(b *testing.B) {
	for _, capacity := range []int{2048, 8192, 32768} {
		b.Run(fmt.Sprintf("records=%d", capacity), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := NewLog(capacity)
			for i := range 2 * capacity {
				l.Put(benchRecord(i))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			i := 0
			for b.Loop() {
				l.Put(benchRecord(i))
				i++
			}
			runtime.KeepAlive(l)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(capacity), "B/record")
		})
	}
}

func benchRecord(i int) *Record {
	now := time.Unix(1_800_000_000, 0)
	r := &Record{
		RequestID: domain.RequestID(fmt.Sprintf("r-%026d", i)), Customer: "customer-00001", Target: "model/model-name-07", ArrivedAt: now,
	}
	for _, name := range []string{"admitted", "routed", "sent", "first_chunk", "ended"} {
		r.Add(now, name, fmt.Sprintf("failure domain region-03-fd-07 over node region-03-fd-07-entry-%03d, first token in 121ms", i%50))
	}
	return r
}

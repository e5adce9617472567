package operations

import (
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
)

func benchConfig() IssuerConfig {
	c := DefaultIssuerConfig()
	c.MaxRecords = 1 << 26
	return c
}

func BenchmarkIssue(b *testing.B) {
	i := newIssuer(b, benchConfig())
	b.ReportAllocs()
	for b.Loop() {
		i.Issue(customer, origin)
	}
}

func BenchmarkBegin(b *testing.B) {
	i := newIssuer(b, benchConfig())
	ids := make([]domain.OperationID, b.N)
	for n := range ids {
		ids[n] = i.Issue(customer, origin)
	}
	next := atomic.Int64{}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := i.Begin(ids[next.Add(1)-1], customer, 1, origin); err != nil {
				b.Error(err)
			}
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	c := DefaultExecutorConfig()
	c.MaxRecords = 1 << 26
	e := newExecutor(b, c)
	attempts := make([]Attempt, b.N)
	for n := range attempts {
		attempts[n] = attemptOf("i", uint64(n+1), 1)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		if _, err := e.Admit(attempts[n], origin); err != nil {
			b.Fatal(err)
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkKeptOperation reports the memory used by a finished operation with an
// answer of 200 bytes, at the issuer and at an executor.
func BenchmarkKeptOperation(b *testing.B) {
	const operations = 50_000
	c := benchConfig()
	c.MaxTotalBytes = 1 << 30
	for b.Loop() {
		b.StopTimer()
		before := heapBytes()
		i := newIssuer(b, c)
		for range operations {
			r := mustRun(b, i, i.Issue(customer, origin), origin)
			dispatchWithHead(b, r)
			if err := r.WriteChunk(make([]byte, 200)); err != nil {
				b.Fatal(err)
			}
			if err := r.Complete(origin); err != nil {
				b.Fatal(err)
			}
		}
		middle := heapBytes()
		e := newExecutor(b, DefaultExecutorConfig())
		for n := range operations / DefaultExecutorConfig().Shards {
			admit(b, e, attemptOf("i", uint64(n+1), 1), origin).EndRan(origin)
		}
		after := heapBytes()
		b.ReportMetric(float64(middle-before)/operations, "issuer-bytes/op")
		b.ReportMetric(float64(after-middle)/(operations/float64(DefaultExecutorConfig().Shards)), "executor-bytes/op")
		runtime.KeepAlive(i)
		runtime.KeepAlive(e)
		b.StartTimer()
	}
}

// BenchmarkWriteChunk writes answers of 1,000 chunks, which evicts older answers.
func BenchmarkWriteChunk(b *testing.B) {
	i := newIssuer(b, benchConfig())
	chunk := make([]byte, 200)
	b.ReportAllocs()
	var r *Run
	for n := 0; b.Loop(); n++ {
		if n%1000 == 0 {
			if r != nil {
				r.Close(origin)
			}
			r = mustRun(b, i, i.Issue(customer, origin), origin)
			dispatchWithHead(b, r)
		}
		if err := r.WriteChunk(chunk); err != nil {
			b.Fatal(err)
		}
	}
}

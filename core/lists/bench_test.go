package lists_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

const (
	benchRegions = 11
	benchModels  = 17
	benchPlans   = 40
	benchTrail   = 32
)

// benchVersioned returns lists with the given number of customers, one key per
// customer, and a full trail.
func benchVersioned(customers int) *lists.Versioned {
	v := &lists.Versioned{Version: 1000, Change: benchChange(1000)}
	for i := range benchTrail {
		v.Trail = append(v.Trail, benchChange(domain.ListsVersion(999-i)))
	}
	for i := range benchRegions {
		v.Document.Regions = append(v.Document.Regions, domain.Region(fmt.Sprintf("region-%02d", i)))
	}
	var models []string
	for i := range benchModels {
		models = append(models, fmt.Sprintf("model-name-%02d", i))
	}
	for i := range benchPlans {
		v.Document.Plans = append(v.Document.Plans, lists.Plan{
			ID: domain.PlanID(fmt.Sprintf("plan-%02d", i)), Models: models, Regions: v.Document.Regions,
			Home: v.Document.Regions[i%benchRegions], Limits: lists.Limits{Concurrency: 100, TokensPerSecond: 20_000}, Priority: i % 10,
		})
	}
	for i := range customers {
		id := fmt.Sprintf("customer-%05d", i)
		v.Document.Customers = append(v.Document.Customers, lists.Customer{
			ID: domain.CustomerID(id), Plan: v.Document.Plans[i%benchPlans].ID, KeyHashes: []string{lists.HashKey(id)},
		})
	}
	return v
}

func benchChange(v domain.ListsVersion) lists.Change {
	return lists.Change{
		ID: fmt.Sprintf("change-%06d", v), Version: v, Author: "operator", Reason: "a customer moved to another plan",
		Time: time.Unix(1_800_000_000, 0).UTC(), Difference: []string{"customer customer-00001: plan plan-01 -> plan-02"},
	}
}

// BenchmarkCompile decodes and compiles a stored document, as a node does for each
// version that it adopts, and reports the size of the document and its memory use.
func BenchmarkCompile(b *testing.B) {
	for _, customers := range []int{350, 700, 1400, 2800, 5600} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			raw, err := json.Marshal(benchVersioned(customers))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				compileStored(b, raw)
			}
			b.ReportMetric(float64(len(raw)), "document-B")
			b.ReportMetric(retainedHeap(b, raw), "held-B")
		})
	}
}

func compileStored(b *testing.B, raw []byte) *lists.Snapshot {
	var v lists.Versioned
	if err := json.Unmarshal(raw, &v); err != nil {
		b.Fatal(err)
	}
	s, err := lists.Compile(&v)
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// retainedHeap returns the live heap of one compiled document, in bytes.
func retainedHeap(b *testing.B, raw []byte) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := compileStored(b, raw)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(s)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkAuthenticate measures hashing a bearer key and looking up its customer.
func BenchmarkAuthenticate(b *testing.B) {
	s, err := lists.Compile(benchVersioned(1400))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Authenticate("customer-00700"); err != nil {
			b.Fatal(err)
		}
	}
}

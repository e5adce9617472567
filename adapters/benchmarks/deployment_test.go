package benchmarks

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/loadgen"
	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/routing"
)

// site is a failure domain of a deployment under load.
type site struct {
	place   domain.Place
	nodes   int
	engines int
	slots   int
	// rate is the load at its entries, in requests a second.
	rate float64
}

// deployment is a fleet of the size of one of the users'.
type deployment struct {
	profile        routing.Profile
	betweenRegions time.Duration
	betweenDomains time.Duration
	sites          []site
}

func place(region, fd string) domain.Place {
	return domain.Place{Region: domain.Region(region), FailureDomain: domain.FailureDomain(fd)}
}

// grachtwerk has 18 engines in three regions with a capacity that differs
// tenfold, and nine nodes.
func grachtwerk(rates [3]float64) deployment {
	return deployment{
		profile: routing.ProfileLatency, betweenRegions: 55 * time.Millisecond, betweenDomains: 5 * time.Millisecond,
		sites: []site{
			{place("nl-west", "nl-west-a"), 3, 12, 10, rates[0]},
			{place("nl-oost", "nl-oost-a"), 3, 4, 6, rates[1]},
			{place("de-west", "de-west-a"), 3, 2, 6, rates[2]},
		},
	}
}

// rodopa has 12 engines and nine nodes.
func rodopa(rates [3]float64) deployment {
	return deployment{
		profile: routing.ProfileCost, betweenRegions: 55 * time.Millisecond, betweenDomains: 4 * time.Millisecond,
		sites: []site{
			{place("sofia", "sofia-a"), 3, 8, 10, rates[0]},
			{place("frankfurt", "frankfurt-b"), 3, 3, 5, rates[1]},
			{place("bucharest", "bucharest-c"), 3, 1, 8, rates[2]},
		},
	}
}

const (
	loadTime    = 12 * time.Second
	reportLag   = time.Second
	decodeSpeed = 50.0   // tokens per second
	prefill     = 8000.0 // tokens per second
)

func (d deployment) start(b *testing.B, policy *routing.Policy) *fleet.Fleet {
	b.Helper()
	cfg := fleet.Config{
		Profile: d.profile, BetweenRegions: d.betweenRegions, BetweenDomains: d.betweenDomains, Document: benchLists(),
		Adjust: func(c *node.Config) { c.Policy = policy },
	}
	cfg.Document.Regions = nil
	for _, s := range d.sites {
		cfg.Document.Regions = append(cfg.Document.Regions, s.place.Region)
		cfg.Domains = append(cfg.Domains, fleet.Domain{
			Place: s.place, Nodes: s.nodes, Engines: s.engines, Engine: enginesim.Config{
				Models: []string{model}, Slots: s.slots, PrefillTokensPerSecond: prefill, DecodeTokensPerSecond: decodeSpeed,
				TimeScale: 1, LoadLag: reportLag, CostPerMillionTokens: 1,
			},
		})
	}
	cfg.Document.Plans[0].Regions = cfg.Document.Regions
	f, err := fleet.Start(cfg)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		f.Close()
		b.Fatal(err)
	}
	return f
}

// load drives each site's entries and returns the reports in the sites' order.
func (d deployment) load(b *testing.B, f *fleet.Fleet) []*loadgen.Report {
	b.Helper()
	reports := make([]*loadgen.Report, len(d.sites))
	var wg sync.WaitGroup
	for i, s := range d.sites {
		c := loadgen.Config{
			Key: key, Model: model, Rate: s.rate, Duration: loadTime, PromptBytes: 1200, OutputTokens: 30, LongShare: 0.1, LongFactor: 8,
			Prefixes: 40, FirstToken: 400 * time.Millisecond, Timeout: time.Minute, Seed: uint64(i + 1),
		}
		for _, n := range f.Nodes {
			if n.Place == s.place {
				c.Entries = append(c.Entries, "http://"+n.Caller)
			}
		}
		wg.Go(func() {
			r, err := loadgen.Run(context.Background(), c)
			if err != nil {
				b.Error(err)
				return
			}
			reports[i] = r
		})
	}
	wg.Wait()
	return reports
}

// refusals are the kinds by which a node declines a request for want of room.
var refusals = []errkind.Kind{
	errkind.Overloaded, errkind.NoCapacity, errkind.DeadlineUnreachable, errkind.LimitExceeded, errkind.Draining,
}

// report publishes the worst site's latency and the shares over all sites.
// Latencies are those of whole answers; every request counts in good-share, so
// that refused and failed ones lower it.
func (d deployment) report(b *testing.B, reports []*loadgen.Report) {
	var requests, whole, good, away, refused, failed int
	var p50, p99 float64
	for i, r := range reports {
		requests, whole, good = requests+r.Requests, whole+r.Whole, good+r.Good
		away += r.Whole - r.RanIn[string(d.sites[i].place.FailureDomain)]
		for kind, n := range r.Errors {
			if slices.Contains(refusals, kind) {
				refused += n
				continue
			}
			failed += n
		}
		p50, p99 = max(p50, r.FirstToken.P50), max(p99, r.FirstToken.P99)
	}
	b.ReportMetric(p50, "ttft-p50-ms")
	b.ReportMetric(p99, "ttft-p99-ms")
	b.ReportMetric(float64(away)/float64(max(1, whole)), "away-share")
	b.ReportMetric(float64(good)/float64(max(1, requests)), "good-share")
	b.ReportMetric(float64(refused)/float64(max(1, requests)), "refused-share")
	b.ReportMetric(float64(failed)/float64(max(1, requests)), "failed-share")
}

// BenchmarkDeployment drives running fleets of the users' sizes, whose engines'
// load reports lag by a second, with the product's policy and with baselines.
func BenchmarkDeployment(b *testing.B) {
	conditions := []struct {
		name string
		d    deployment
	}{
		{"grachtwerk/steady", grachtwerk([3]float64{40, 8, 4})},
		{"grachtwerk/hot", grachtwerk([3]float64{10, 4, 30})},
		// Three times what the slots hold.
		{"grachtwerk/overload", grachtwerk([3]float64{333, 67, 33})},
		{"rodopa/steady", rodopa([3]float64{26, 5, 3})},
		{"rodopa/hot", rodopa([3]float64{8, 3, 20})},
	}
	for _, c := range conditions {
		b.Run(c.name+"/product", func(b *testing.B) { runDeployment(b, c.d, nil) })
		for _, p := range routing.Baselines() {
			policy := routing.BaselinePolicy(p)
			b.Run(c.name+"/"+p.Name(), func(b *testing.B) { runDeployment(b, c.d, &policy) })
		}
	}
}

func runDeployment(b *testing.B, d deployment, policy *routing.Policy) {
	for b.Loop() {
		f := d.start(b, policy)
		reports := d.load(b, f)
		f.Close()
		d.report(b, reports)
	}
}

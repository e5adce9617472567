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
	// rate is the load on its entry nodes in requests per second.
	rate float64
}

// deployment describes a fleet that has the size of one of the users' deployments.
type deployment struct {
	profile        routing.Profile
	betweenRegions time.Duration // one-way delay between regions
	betweenDomains time.Duration // one-way delay between failure domains of a region
	sites          []site
}

func place(region, fd string) domain.Place {
	return domain.Place{Region: domain.Region(region), FailureDomain: domain.FailureDomain(fd)}
}

// grachtwerk returns a deployment with nine nodes and 18 engines in three regions,
// whose capacities differ by a factor of ten.
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

// rodopa returns a deployment with nine nodes and 12 engines in three regions.
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
	loadDuration           = 12 * time.Second
	loadReportLag          = time.Second
	decodeTokensPerSecond  = 50.0
	prefillTokensPerSecond = 8000.0
)

// start starts the fleet with a routing policy, nil for the default, and waits until
// all nodes are ready.
func (d deployment) start(b *testing.B, policy *routing.Policy) *fleet.Fleet {
	b.Helper()
	cfg := fleet.Config{
		Profile: d.profile, InterRegionDelay: d.betweenRegions, InterDomainDelay: d.betweenDomains, Document: benchLists(),
		Adjust: func(c *node.Config) { c.Policy = policy },
	}
	cfg.Document.Regions = nil
	for _, s := range d.sites {
		cfg.Document.Regions = append(cfg.Document.Regions, s.place.Region)
		cfg.Domains = append(cfg.Domains, fleet.Domain{
			Place: s.place, Nodes: s.nodes, Engines: s.engines, Engine: enginesim.Config{
				Models: []string{model}, Slots: s.slots, PrefillTokensPerSecond: prefillTokensPerSecond, DecodeTokensPerSecond: decodeTokensPerSecond,
				TimeScale: 1, LoadLag: loadReportLag, CostPerMillionTokens: 1,
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

// load generates load on the entry nodes of each site and returns one report for each
// site in order.
func (d deployment) load(b *testing.B, f *fleet.Fleet) []*loadgen.Report {
	b.Helper()
	reports := make([]*loadgen.Report, len(d.sites))
	var wg sync.WaitGroup
	for i, s := range d.sites {
		c := loadgen.Config{
			Key: key, Model: model, Rate: s.rate, Duration: loadDuration, PromptBytes: 1200, OutputTokens: 30, LongShare: 0.1, LongFactor: 8,
			Prefixes: 40, FirstTokenTimeout: 400 * time.Millisecond, Timeout: time.Minute, Seed: uint64(i + 1),
		}
		for _, n := range f.Nodes {
			if n.Place == s.place {
				c.Entries = append(c.Entries, "http://"+n.CallerAddress)
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

// rejectionKinds are the error kinds of requests that a node rejects for lack of capacity.
var rejectionKinds = []errkind.Kind{
	errkind.Overloaded, errkind.NoCapacity, errkind.DeadlineUnreachable, errkind.LimitExceeded, errkind.Draining,
}

// report reports the latencies of the worst site and the shares over all sites.
// Latencies cover complete responses only. All requests count for good-share, so that
// rejected and failed ones lower it.
func (d deployment) report(b *testing.B, reports []*loadgen.Report) {
	var requests, complete, good, remote, rejected, failed int
	var p50, p99 float64
	for i, r := range reports {
		requests, complete, good = requests+r.Requests, complete+r.Completed, good+r.InTime
		remote += r.Completed - r.RanIn[string(d.sites[i].place.FailureDomain)]
		for kind, n := range r.Errors {
			if slices.Contains(rejectionKinds, kind) {
				rejected += n
				continue
			}
			failed += n
		}
		p50, p99 = max(p50, r.FirstToken.P50), max(p99, r.FirstToken.P99)
	}
	b.ReportMetric(p50, "ttft-p50-ms")
	b.ReportMetric(p99, "ttft-p99-ms")
	b.ReportMetric(float64(remote)/float64(max(1, complete)), "away-share")
	b.ReportMetric(float64(good)/float64(max(1, requests)), "good-share")
	b.ReportMetric(float64(rejected)/float64(max(1, requests)), "refused-share")
	b.ReportMetric(float64(failed)/float64(max(1, requests)), "failed-share")
}

// BenchmarkDeployment generates load on fleets that have the sizes of the users'
// deployments and compares the default routing policy with baseline policies. The load
// reports of the engines lag by loadReportLag, one second.
func BenchmarkDeployment(b *testing.B) {
	conditions := []struct {
		name string
		d    deployment
	}{
		{"grachtwerk/steady", grachtwerk([3]float64{40, 8, 4})},
		{"grachtwerk/hot", grachtwerk([3]float64{10, 4, 30})},
		// Three times the load that occupies all slots.
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

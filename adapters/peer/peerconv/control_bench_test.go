package peerconv

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	benchModels    = 17
	benchServices  = 3
	benchUpstreams = 23 // 600 upstreams in 26 failure domains
	benchCustomers = 8  // customers with demand at one node
	benchWarmUp    = 30 * time.Second
	benchStartTime = 4 * time.Second
	benchSeed      = 7
)

// fleet is a set of groups that exchange marshaled heartbeats in one process.
type fleet struct {
	now      time.Time
	groups   map[domain.NodeID]*membership.Group
	order    []domain.NodeID
	places   map[domain.NodeID]domain.Place
	rng      *rand.Rand
	bytes    int
	messages int
}

func newFleet(domains, nodes int) *fleet {
	f := &fleet{
		now:    time.Unix(1_800_000_000, 0),
		groups: make(map[domain.NodeID]*membership.Group),
		places: make(map[domain.NodeID]domain.Place),
		rng:    rand.New(rand.NewPCG(benchSeed, benchSeed)),
	}
	var vms []ports.VM
	for d := range domains {
		place := domain.Place{
			Region:        domain.Region(fmt.Sprintf("region-%02d", d*11/domains)),
			FailureDomain: domain.FailureDomain(fmt.Sprintf("region-%02d-fd%02d", d*11/domains, d)),
		}
		for n := range nodes {
			vms = append(vms, ports.VM{
				ID:      fmt.Sprintf("%s-entry-%03d", place.FailureDomain, n),
				Role:    ports.RoleEntry,
				Place:   place,
				Address: fmt.Sprintf("10.%d.1.%d:7001", d, n),
			})
		}
	}
	for _, vm := range vms {
		f.add(vm)
	}
	for _, g := range f.groups {
		g.SetVMs(f.now, vms)
	}
	return f
}

func (f *fleet) add(vm ports.VM) {
	self := domain.NodeRef{
		ID:            domain.NodeID(vm.ID),
		Incarnation:   domain.Incarnation(f.rng.Uint64()),
		Place:         vm.Place,
		PeerAddress:   vm.Address,
		CallerAddress: vm.Address,
		State:         domain.NodeStarting,
	}
	f.groups[self.ID] = membership.New(membership.DefaultConfig(self), f.now)
	f.places[self.ID] = vm.Place
	f.order = append(f.order, self.ID)
}

// runSecond runs one round of every node, distributed over one second.
func (f *fleet) runSecond(tb testing.TB) {
	step := time.Second / time.Duration(len(f.order))
	for _, id := range f.order {
		f.now = f.now.Add(step)
		g := f.groups[id]
		f.setLocalState(id, g)
		for _, out := range g.StartRound(f.now) {
			f.exchange(tb, g, out)
		}
	}
	f.now = f.now.Add(time.Second - step*time.Duration(len(f.order)))
}

// setLocalState sets the local loads and demands of a node. About a tenth of the targets
// change by more than a rounding step each second.
func (f *fleet) setLocalState(id domain.NodeID, g *membership.Group) {
	targets := make([]membership.TargetLoad, 0, benchModels+benchServices)
	for i := range benchModels + benchServices {
		t := membership.TargetLoad{Slots: 64, Free: uint32(32 + i%8), WaitMillis: 20, CostMilli: 1500}
		t.Target = domain.Target{Kind: domain.TargetModel, Name: fmt.Sprintf("model-name-%02d", i)}
		if f.rng.IntN(20) == 0 {
			t.Free = uint32(f.rng.IntN(64))
		}
		targets = append(targets, t)
	}
	g.SetOwnLoad(f.now, targets)
	upstreams := make([]membership.UpstreamLoad, 0, benchUpstreams)
	for i := range benchUpstreams {
		upstreams = append(upstreams, membership.UpstreamLoad{
			Upstream: domain.UpstreamID(fmt.Sprintf("%s-engine-%02d", f.places[id].FailureDomain, i)),
			InFlight: uint32(f.rng.IntN(16)), PendingTokens: uint64(f.rng.IntN(9000)),
		})
	}
	g.SetUpstreams(upstreams)
	var demands []membership.LimitDemand
	for i := range benchCustomers {
		demands = append(demands, membership.LimitDemand{
			Customer: domain.CustomerID(fmt.Sprintf("customer-%04d", i)), Node: id,
			Sequence: uint64(f.now.UnixMilli()), InFlight: uint32(f.rng.IntN(9)), TokensPerSecond: uint32(f.rng.IntN(9000)),
		})
	}
	for _, d := range demands {
		// In a deployment one node publishes the domain's aggregate demands; here all
		// nodes do.
		d.Node = membership.DomainDemandOrigin(f.places[id].FailureDomain)
		demands = append(demands, d)
	}
	g.SetDemands(f.now, demands)
}

func (f *fleet) exchange(tb testing.TB, from *membership.Group, out membership.Outgoing) {
	to := f.groups[out.To.ID]
	reply := to.Receive(f.now, f.roundTrip(tb, out.Message))
	from.HandleReply(f.now.Add(time.Millisecond), out.To, f.now, f.roundTrip(tb, reply))
}

// roundTrip marshals and unmarshals a heartbeat and counts its bytes.
func (f *fleet) roundTrip(tb testing.TB, h membership.Heartbeat) membership.Heartbeat {
	raw, err := proto.Marshal(HeartbeatToProto(h))
	if err != nil {
		tb.Fatal(err)
	}
	f.bytes += len(raw)
	f.messages++
	var m peerpb.HeartbeatMessage
	if err := proto.Unmarshal(raw, &m); err != nil {
		tb.Fatal(err)
	}
	got, err := HeartbeatFromProto(&m)
	if err != nil {
		tb.Fatal(err)
	}
	return got
}

func (f *fleet) run(tb testing.TB, d time.Duration) {
	for range int(d / time.Second) {
		f.runSecond(tb)
	}
}

// BenchmarkControlPlane measures the cost of membership per node: payload bytes sent and
// received, messages, CPU time and memory. One operation is one simulated second of the
// whole fleet.
func BenchmarkControlPlane(b *testing.B) {
	sizes := []struct{ domains, nodes int }{{3, 3}, {26, 3}, {26, 13}, {26, 50}, {3, 13}, {100, 13}, {3, 130}}
	for _, s := range sizes {
		b.Run(fmt.Sprintf("domains=%d/nodes=%d", s.domains, s.nodes), func(b *testing.B) {
			benchControlPlane(b, s.domains, s.nodes)
		})
	}
}

func benchControlPlane(b *testing.B, domains, nodes int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := newFleet(domains, nodes)
	f.run(b, benchStartTime)
	for _, g := range f.groups {
		g.SetState(f.now, domain.NodeServing)
	}
	f.run(b, benchWarmUp)
	f.bytes, f.messages = 0, 0
	b.ResetTimer()
	start := cpuTime(b)
	for range b.N {
		f.runSecond(b)
	}
	cpuUsed := cpuTime(b) - start
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	perNodeSecond := float64(b.N) * float64(len(f.order))
	// Each byte is sent by one node and received by another.
	b.ReportMetric(2*float64(f.bytes)/perNodeSecond, "B/s/node")
	b.ReportMetric(2*float64(f.messages)/perNodeSecond, "msg/s/node")
	b.ReportMetric(100*cpuUsed.Seconds()/perNodeSecond, "cpu%")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(f.order))/(1<<20), "MB")
	f.reportAges(b)
	runtime.KeepAlive(f)
}

// reportAges reports the ages of other domains' load reports, and the numbers of nodes
// not seen as live and of domains seen as unreachable.
func (f *fleet) reportAges(b *testing.B) {
	var ages []float64
	missing, unreachable := 0, 0
	for _, g := range f.groups {
		v := g.View()
		missing += len(v.PeerIDs) + 1 - len(v.LocalNodes)
		for _, d := range v.OtherDomains {
			ages = append(ages, d.Age(f.now).Seconds())
			if !d.Reachable {
				unreachable++
			}
		}
	}
	slices.Sort(ages)
	b.ReportMetric(ages[len(ages)/2], "age-p50-s")
	b.ReportMetric(ages[len(ages)*99/100], "age-p99-s")
	b.ReportMetric(float64(missing), "not-live")
	b.ReportMetric(float64(unreachable), "unreachable")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

package benchmarks

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	// settleTime is the time between the start of a fleet and the measurement.
	settleTime = 6 * time.Second
	// idleTime is the duration of one measurement.
	idleTime = 20 * time.Second
	// clockTick is the unit of processor times in /proc.
	clockTick = 10 * time.Millisecond
	// modelNameFormat is the format of model names.
	modelNameFormat = "model-name-%02d"
	// modelCount is the number of models in a fleet.
	modelCount = 17
)

// traffic counts the bytes of connections in both directions by the kind of server.
type traffic struct{ peer, platform, upstream atomic.Int64 }

// countingConn is a connection that adds the bytes it reads and writes to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingDial returns a dial function whose connections add their bytes to a counter.
func countingDial(bytes *atomic.Int64) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, bytes}, nil
	}
}

// instrument makes a node count the bytes of its connections to peers and upstreams.
func (t *traffic) instrument(c *node.Config) {
	dial := countingDial(&t.peer)
	c.PeerDial = func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
	c.Upstream.Dial = countingDial(&t.upstream)
}

// idleFleetSize is the size of an idle fleet. Nodes and engines are per failure domain.
type idleFleetSize struct {
	domains, nodes, engines int
	// vmRows is the minimum number of rows of the VM list. Rows of engines in other
	// failure domains are added to reach it.
	vmRows int
	// heartbeat is the heartbeat interval.
	heartbeat time.Duration
}

func (s idleFleetSize) String() string {
	return fmt.Sprintf("domains=%d/nodes=%d/engines=%d/rows=%d/beat=%s", s.domains, s.nodes, s.engines, s.vmRows, s.heartbeat)
}

// benchPlace returns the region and failure domain with index i.
func benchPlace(i, regions int) domain.Place {
	region := fmt.Sprintf("region-%02d", i%regions)
	return domain.Place{Region: domain.Region(region), FailureDomain: domain.FailureDomain(fmt.Sprintf("%s-fd%02d", region, i))}
}

// idleFleetLists returns lists with the given number of customers, with one key each,
// and all models.
func idleFleetLists(customers, regions int) lists.Document {
	d := benchLists()
	d.Regions, d.Plans[0].Models = nil, nil
	for i := range regions {
		d.Regions = append(d.Regions, benchPlace(i, regions).Region)
	}
	for i := range modelCount {
		d.Plans[0].Models = append(d.Plans[0].Models, fmt.Sprintf(modelNameFormat, i))
	}
	d.Plans[0].Regions = d.Regions
	for i := range customers - 1 {
		id := fmt.Sprintf("customer-%05d", i)
		d.Customers = append(d.Customers, lists.Customer{ID: domain.CustomerID(id), Plan: "p", KeyHashes: []string{lists.HashKey(id)}})
	}
	return d
}

// startIdleFleet starts an idle fleet whose VM list has at least s.vmRows rows.
func startIdleFleet(b *testing.B, s idleFleetSize, t *traffic) *fleet.Fleet {
	b.Helper()
	const regions, customers = 11, 1400
	var names []string
	for i := range modelCount {
		names = append(names, fmt.Sprintf(modelNameFormat, i))
	}
	cfg := fleet.Config{
		Document:          idleFleetLists(customers, min(regions, s.domains)),
		PlatformTransport: &http.Transport{DialContext: countingDial(&t.platform), MaxIdleConnsPerHost: 64},
		Adjust: func(c *node.Config) {
			c.HeartbeatInterval = s.heartbeat
			t.instrument(c)
		},
	}
	for i := range s.domains {
		cfg.Domains = append(cfg.Domains, fleet.Domain{
			Place: benchPlace(i, regions), Nodes: s.nodes, Engines: s.engines,
			Engine: enginesim.Config{Models: names[i%modelCount:][:1], Slots: 16, TimeScale: 1},
		})
	}
	f, err := fleet.Start(cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	for i := range s.vmRows - s.domains*(s.nodes+s.engines) {
		f.Platform.UpdateVM(ports.VM{
			ID: fmt.Sprintf("vm-elsewhere-%05d", i), Role: ports.RoleEngine, Place: benchPlace(100+i%26, regions),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	waitConnected(ctx, b, f, s)
	return f
}

// waitConnected waits until every node knows the nodes of its own failure domain and
// the load of all failure domains. Of other failure domains, a node knows only a sample
// of the nodes.
func waitConnected(ctx context.Context, b *testing.B, f *fleet.Fleet, s idleFleetSize) {
	b.Helper()
	for _, n := range f.Nodes {
		for !n.Process.KnowsFleet(s.nodes+s.domains-1, s.domains) {
			if ctx.Err() != nil {
				b.Fatalf("node %s has an incomplete view of the fleet", n.ID)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// BenchmarkControlTraffic measures the bytes that an idle node sends and receives,
// including protocol framing, and its calls to the platform. One operation is idleTime
// of the entire fleet.
func BenchmarkControlTraffic(b *testing.B) {
	second, half := time.Second, 500*time.Millisecond
	for _, s := range []idleFleetSize{
		{2, 3, 2, 0, half}, {6, 3, 2, 0, half}, {12, 3, 2, 0, half}, {12, 3, 2, 0, second},
		{2, 3, 2, 465, half}, {2, 3, 2, 930, half}, {2, 13, 6, 0, half}, {1, 3, 12, 0, half},
	} {
		b.Run(s.String(), func(b *testing.B) { measureControlTraffic(b, s) })
	}
}

func measureControlTraffic(b *testing.B, s idleFleetSize) {
	var t traffic
	f := startIdleFleet(b, s, &t)
	time.Sleep(settleTime)
	callsBefore := callCounts(f)
	peerBefore, platformBefore, upstreamBefore := t.peer.Load(), t.platform.Load(), t.upstream.Load()
	b.ResetTimer()
	for range b.N {
		time.Sleep(idleTime)
	}
	b.StopTimer()
	nodeSeconds := float64(b.N*len(f.Nodes)) * idleTime.Seconds()
	// Only the dialing node counts the bytes of a connection between two nodes.
	b.ReportMetric(2*float64(t.peer.Load()-peerBefore)/nodeSeconds, "peer-B/s")
	b.ReportMetric(float64(t.platform.Load()-platformBefore)/nodeSeconds, "platform-B/s")
	b.ReportMetric(float64(t.upstream.Load()-upstreamBefore)/nodeSeconds, "upstream-B/s")
	for call, n := range callCounts(f) {
		if n > callsBefore[call] {
			b.ReportMetric(float64(n-callsBefore[call])/nodeSeconds, string(call)+"/s")
		}
	}
}

// callCounts returns the number of calls to the platform by kind.
func callCounts(f *fleet.Fleet) map[platformsim.Call]uint64 {
	counts := make(map[platformsim.Call]uint64)
	for _, c := range f.Platform.Counts() {
		counts[c.Call] = c.Count
	}
	return counts
}

// BenchmarkIdleNode runs one node as a separate process in an idle fleet and measures
// its processor time and memory. One operation is idleTime.
func BenchmarkIdleNode(b *testing.B) {
	half := 500 * time.Millisecond
	binary := buildNode(b)
	for _, s := range []idleFleetSize{{2, 2, 6, 0, half}, {2, 2, 23, 0, half}, {2, 2, 23, 465, half}, {2, 2, 23, 930, half}, {13, 2, 4, 930, half}} {
		b.Run(s.String(), func(b *testing.B) { measureIdleNode(b, s, binary) })
	}
}

func measureIdleNode(b *testing.B, s idleFleetSize, binary string) {
	f := startIdleFleet(b, s, new(traffic))
	place := benchPlace(0, 11)
	p := &nodeProcess{caller: freeAddress(b)}
	peer := freeAddress(b)
	f.Platform.UpdateVM(ports.VM{ID: "measured", Role: ports.RoleEntry, Place: place, Address: peer})
	p.run(b, binary, fmt.Sprintf("node: {id: measured, region: %s, failure_domain: %s}\nlisten: {caller: %q, peer: %q, admin: %q}\nplatform: {url: %q}\n",
		place.Region, place.FailureDomain, p.caller, peer, freeAddress(b), f.PlatformURL))
	defer p.stop()
	time.Sleep(settleTime)
	usedBefore := p.processorTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(idleTime)
	}
	b.StopTimer()
	b.ReportMetric(100*(p.processorTime(b)-usedBefore).Seconds()/(float64(b.N)*idleTime.Seconds()), "cpu%")
	b.ReportMetric(float64(p.memory(b))/(1<<20), "RSS-MB")
}

// processorTime returns the user and system time that the process has used.
func (p *nodeProcess) processorTime(b *testing.B) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	const userField, systemField = 11, 12 // indexes of the fields that follow the process name
	fields := strings.Fields(rest)
	var ticks int
	for _, i := range []int{userField, systemField} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			b.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

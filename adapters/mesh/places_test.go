package mesh

import (
	"context"
	"net"
	"reflect"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"github.com/crocusspread/crocusspread/adapters/calllimit"
	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/places"
)

// fakeBroker records the calls and gives fixed replies.
type fakeBroker struct {
	Handler
	decision places.Decision
	asked    places.Request
	released []PlaceRelease
}

func (b *fakeBroker) AcquirePlace(_ context.Context, _ domain.NodeID, _ string, r places.Request) (places.Decision, error) {
	b.asked = r
	return b.decision, nil
}

func (b *fakeBroker) ReleasePlaces(list []PlaceRelease) { b.released = append(b.released, list...) }

func (b *fakeBroker) LendPlaces(string, domain.Region, int) ([]places.Lent, time.Duration) {
	return []places.Lent{{Upstream: b.decision.Upstream, Permits: 7}}, time.Second
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func startBroker(t testing.TB, b *fakeBroker) (c *Client, address string, bytes *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guard := connlimit.New(1<<20, event.Discard{}, telemetry.NewMetrics(domain.Place{}))
	limits := &Limits{Calls: calllimit.New(guard, "peer", 256<<20, nil), ReserveBody: func(int64) *errkind.Error { return nil }, ReleaseBody: func(int64) {}}
	s := NewServer(insecure.NewCredentials(), b, limits, time.Now)
	go func() { _ = s.Serve(l) }() // it returns once the server stops
	t.Cleanup(s.Stop)
	bytes = new(atomic.Int64)
	c = NewClient("n1", insecure.NewCredentials(), func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{conn, bytes}, err
	}, time.Now)
	t.Cleanup(c.Close)
	if err := c.ReleasePlaces(context.Background(), l.Addr().String(), nil); err != nil { // connects
		t.Fatal(err)
	}
	awaitConnected(t, c, l.Addr().String())
	return c, l.Addr().String(), bytes
}

// awaitConnected waits until the client takes its connection for established; gRPC completes calls on it before that.
func awaitConnected(t testing.TB, c *Client, address string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !c.Connected(&peers.Member{PeerAddress: address}); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no connection to %s was established within 10 s", address)
		}
	}
}

func TestPlacesKeepTheirMeaningOnTheWire(t *testing.T) {
	granted := places.Decision{ID: 1 << 60, Upstream: places.Upstream{ID: "small-u1", Started: 5, Place: domain.Place{Region: "east"}}}
	b := &fakeBroker{decision: granted}
	c, address, _ := startBroker(t, b)
	r := places.Request{Account: "a", Priority: 102, Objective: 300 * time.Millisecond, ObjectiveLeft: -20 * time.Millisecond, Left: 4 * time.Second,
		Regions: []domain.Region{"east"}, Excluded: []domain.UpstreamID{"small-u2"}, Key: 9}
	if d, err := c.AcquirePlace(context.Background(), address, "small", r); err != nil || !reflect.DeepEqual(d, granted) || !reflect.DeepEqual(b.asked, r) {
		t.Errorf("got %+v and error %v for %+v, want %+v for %+v", d, err, b.asked, granted, r)
	}
	release := PlaceRelease{"small", "small-u1", places.Release{ID: 1 << 60, Used: 61 * time.Millisecond, Outcome: instances.Shed, Load: instances.ReportedLoad{Running: 6, Waiting: 3, Slots: 6}}}
	if err := c.ReleasePlaces(context.Background(), address, []PlaceRelease{release}); err != nil || len(b.released) != 1 || !reflect.DeepEqual(b.released[0], release) {
		t.Errorf("got %+v and error %v, want %+v", b.released, err, release)
	}
	if lent, validFor, err := c.LendPlaces(context.Background(), address, "small", "west", 9); err != nil || validFor != time.Second || len(lent) != 1 || lent[0].Permits != 7 || !reflect.DeepEqual(lent[0].Upstream, granted.Upstream) {
		t.Errorf("got %+v for %v and error %v, want seven places", lent, validFor, err)
	}
	b.decision = places.Decision{Kind: errkind.Overloaded, RetryAfter: 400 * time.Millisecond}
	if d, err := c.AcquirePlace(context.Background(), address, "small", r); err != nil || !reflect.DeepEqual(d, b.decision) {
		t.Errorf("got %+v and error %v, want %+v", d, err, b.decision)
	}
}

// TestControlTrafficOfPlacesIsWithinTheBudget measures the bytes of a request for a place and its return,
// with all framing above TCP, and adds headers of packets. At 330 nodes a service of 863 requests a second,
// as many per node as in the deployment of 130, must cost less than 4 KB sent per second and node on average.
// The broker itself sends and receives the sum of its region.
func TestControlTrafficOfPlacesIsWithinTheBudget(t *testing.T) {
	const (
		requests     = 200
		perNode      = 863.0 / 330
		budget       = 4000.0
		packetHeader = 66.0 // Ethernet, IP and TCP with timestamps; two packets a call and their acknowledgements
	)
	b := &fakeBroker{decision: places.Decision{ID: 1 << 60, Upstream: places.Upstream{ID: "small-west-a-1", Started: 1796550000, Place: domain.Place{Region: "west"}}}}
	c, address, bytes := startBroker(t, b)
	r := places.Request{Account: "customer-12", Priority: 102, Objective: 500 * time.Millisecond, ObjectiveLeft: 480 * time.Millisecond, Left: 4 * time.Second, Key: 1 << 60}
	before := bytes.Load()
	for range requests {
		if _, err := c.AcquirePlace(context.Background(), address, "small-service", r); err != nil {
			t.Fatal(err)
		}
		release := PlaceRelease{"small-service", "small-west-a-1", places.Release{ID: 1 << 60, Used: 61 * time.Millisecond, Load: instances.ReportedLoad{Running: 6, Waiting: 1, Slots: 6}}}
		if err := c.ReleasePlaces(context.Background(), address, []PlaceRelease{release}); err != nil {
			t.Fatal(err)
		}
	}
	perRequest := float64(bytes.Load()-before)/requests + 2*4*packetHeader
	t.Logf("%.0f bytes a request; %.0f a second and node at 330 nodes", perRequest, perRequest*perNode)
	if got := perRequest * perNode; got > budget {
		t.Errorf("got %.0f bytes sent a second and node, want at most %.0f", got, budget)
	}
}

// BenchmarkPlace measures a request for a place and its return over a connection, with the CPU time of both
// ends together.
func BenchmarkPlace(b *testing.B) {
	broker := &fakeBroker{decision: places.Decision{ID: 1 << 60, Upstream: places.Upstream{ID: "small-west-a-1", Started: 1796550000, Place: domain.Place{Region: "west"}}}}
	c, address, _ := startBroker(b, broker)
	r := places.Request{Priority: 1, Objective: 500 * time.Millisecond, ObjectiveLeft: 480 * time.Millisecond, Left: 4 * time.Second, Key: 1 << 60}
	cpu := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before := cpu()
	for b.Loop() {
		if _, err := c.AcquirePlace(context.Background(), address, "small", r); err != nil {
			b.Fatal(err)
		}
		if err := c.ReleasePlaces(context.Background(), address, []PlaceRelease{{"small", "small-west-a-1", places.Release{ID: 1 << 60}}}); err != nil {
			b.Fatal(err)
		}
		broker.released = broker.released[:0]
	}
	b.ReportMetric(float64((cpu()-before).Microseconds())/float64(b.N), "cpu-us/op")
}

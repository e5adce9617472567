package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/crocusspread/crocusspread/adapters/peer/peerconv"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/operations"
)

// echoControl replies to a heartbeat with the same heartbeat.
type echoControl struct{}

func (echoControl) ReceiveHeartbeat(h membership.Heartbeat) membership.Heartbeat { return h }
func (echoControl) ListsNewerThan(domain.ListsVersion) (domain.ListsVersion, []byte) {
	return 0, nil
}
func (echoControl) VMList() []byte                                { return nil }
func (echoControl) Inquire(operations.Attempt) operations.Outcome { return operations.OutcomeUnknown }
func (echoControl) LocalOperationStatus(domain.CustomerID, domain.OperationID) (operations.Status, error) {
	return operations.Status{}, nil
}

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

func benchHeartbeat(upstreams int) membership.Heartbeat {
	node := domain.NodeRef{
		ID: "region-03-fd07-entry-004", Incarnation: 1 << 60, PeerAddress: "10.3.1.4:7001", State: domain.NodeServing,
		Place: domain.Place{Region: "region-03", FailureDomain: "region-03-fd07"},
	}
	h := membership.Heartbeat{Sender: membership.Member{Node: node, HeartbeatCounter: 1 << 30}}
	for i := range upstreams {
		h.Upstreams = append(h.Upstreams, membership.UpstreamLoad{Upstream: domain.UpstreamID(fmt.Sprintf("region-03-fd07-engine-%02d", i)), InFlight: 9})
	}
	return h
}

// BenchmarkHeartbeatFraming exchanges heartbeats over loopback. It reports the size of
// the two messages and the additional bytes on the connection.
func BenchmarkHeartbeatFraming(b *testing.B) {
	for _, upstreams := range []int{0, 16, 32} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := NewServer(nil, echoControl{}, insecure.NewCredentials())
			go func() { _ = s.Serve(l) }()
			defer s.Stop()
			var bytes atomic.Int64
			c := NewClient(ClientConfig{Credentials: insecure.NewCredentials(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
				return countingConn{conn, &bytes}, err
			}})
			defer c.Close()
			to, h := domain.NodeRef{PeerAddress: l.Addr().String()}, benchHeartbeat(upstreams)
			if _, err := c.Heartbeat(context.Background(), to, h); err != nil {
				b.Fatal(err)
			}
			before := bytes.Load()
			b.ResetTimer()
			for range b.N {
				if _, err := c.Heartbeat(context.Background(), to, h); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			payload := 2 * proto.Size(peerconv.HeartbeatToProto(h))
			b.ReportMetric(float64(payload), "payload-B")
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N)-float64(payload), "framing-B")
		})
	}
}

package mesh

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/crocusspread/crocusspread/adapters/calllimit"
	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
)

// capturingListener passes on the connections that it accepts to a channel.
type capturingListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l capturingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c
	}
	return c, err
}

func socketOption(t *testing.T, c net.Conn, name int) (value int) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { value, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	return value
}

// TestGRPCLeavesUserTimeoutsOfConnections guards against a user timeout of gRPC's own, which would decide when keep-alive probes
// of connections between nodes give up.
func TestGRPCLeavesUserTimeoutsOfConnections(t *testing.T) {
	guard := connlimit.New(1<<20, event.Discard{}, telemetry.NewMetrics(domain.Place{}))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 1)
	server := NewServer(insecure.NewCredentials(), nil, &Limits{Calls: calllimit.New(guard, "peer", 64<<20, nil)}, time.Now)
	go func() {
		_ = server.Serve(guard.Listen(capturingListener{inner, accepted}, connlimit.Limits{Name: "peer", MaxConnections: 9, MaxPerAddress: 9, UserTimeout: UserTimeout}))
	}()
	defer server.Stop()
	const userTimeout = 2 * time.Second
	dialed := make(chan net.Conn, 1)
	dial := upstream.Dialer(time.Second, userTimeout)
	client := NewClient("n", insecure.NewCredentials(), func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err == nil {
			dialed <- c
		}
		return c, err
	}, time.Now)
	defer client.Close()
	target := &peers.Member{ID: "m", PeerAddress: inner.Addr().String()}
	connection, err := client.conn(target.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	connection.Connect()
	for deadline := time.Now().Add(10 * time.Second); !client.Connected(target); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not connected")
		}
	}
	for name, c := range map[string]struct {
		conn net.Conn
		want time.Duration
	}{"dialed": {<-dialed, userTimeout}, "accepted": {<-accepted, UserTimeout}} {
		if got := time.Duration(socketOption(t, c.conn, unix.TCP_USER_TIMEOUT)) * time.Millisecond; got != c.want {
			t.Errorf("%s connection: got user timeout %v, want %v", name, got, c.want)
		}
	}
}

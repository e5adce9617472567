package peer_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocusspread/crocusspread/adapters/peer"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/gateway"
)

// TestUserTimeoutThatGRPCSetsIsTheOneOfPings guards against a user timeout that ends connections of nodes before the answer to a
// ping is due.
func TestUserTimeoutThatGRPCSetsIsTheOneOfPings(t *testing.T) {
	address := startServer(t, func(_ context.Context, _ *gateway.ForwardedRequest, w answer.Writer) error { return nil })
	var dialed net.Conn
	c := newClientWith(t, insecureCredentials(), time.Second, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		dialed = conn
		return conn, err
	})
	_, _, _ = execute(testContext(t), c, newRequest(address)) // opens the connection; the answer does not matter
	raw, err := dialed.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got int
	var failed error
	if err := raw.Control(func(fd uintptr) { got, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	if want := peer.UserTimeout; time.Duration(got)*time.Millisecond != want {
		t.Errorf("got user timeout %d ms, want %v", got, want)
	}
}

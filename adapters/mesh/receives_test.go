package mesh

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"github.com/crocusspread/crocusspread/adapters/calllimit"
	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// A relayed request without room for its body must be refused as not run, so that it may run
// elsewhere, and nothing must stay reserved.
func TestRelayedBodyWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	metrics := telemetry.NewMetrics(domain.Place{})
	guard := connlimit.New(1<<20, event.Discard{}, metrics)
	var asked, reserved int64
	limits := &Limits{
		Calls: calllimit.New(guard, "peer", 64<<20, nil),
		ReserveBody: func(bytes int64) *errkind.Error {
			asked = max(asked, bytes)
			if bytes > 1<<20 {
				return errkind.New(errkind.Overloaded, "no room")
			}
			reserved += bytes
			return nil
		},
		ReleaseBody: func(bytes int64) { reserved -= bytes },
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(insecure.NewCredentials(), nil, limits, time.Now) // no request reaches the handler
	go func() {
		_ = server.Serve(guard.Listen(inner, connlimit.Limits{Name: "peer", MaxConnections: 9, MaxPerAddress: 9}))
	}()
	defer server.Stop()
	client := NewClient("n", insecure.NewCredentials(), func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}, time.Now)
	defer client.Close()
	target := &peers.Member{ID: "m", PeerAddress: inner.Addr().String()}
	for !client.Connected(target) {
		connection, err := client.conn(target.PeerAddress)
		if err != nil {
			t.Fatal(err)
		}
		connection.Connect()
		time.Sleep(time.Millisecond)
	}
	const size = 3 << 20
	_, err = client.Relay(context.Background(), target, &relay.Call{Request: &relay.Request{Message: relay.Message{Method: "POST", Body: make([]byte, size)}, Route: &routes.Route{Name: "r"}}})
	var refused *relay.RemoteError
	if !errors.As(err, &refused) || refused.Failure.Kind != errkind.Overloaded || refused.Failure.Verdict() != domain.RunNo {
		t.Errorf("got error %v, want overloaded, not run", err)
	}
	if asked != size || reserved != 0 {
		t.Errorf("asked for %d bytes, want the %d that the sender stated; %d stay reserved", asked, size, reserved)
	}
}

package upstream

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// TestRequestThatEndsBeforeItsConnectionIsCertainlyNotSent guards against a request that is reported as
// one that may have run, although its time ended while the connection was being established.
func TestRequestThatEndsBeforeItsConnectionIsCertainlyNotSent(t *testing.T) {
	client := NewRouted(Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}, plainDialect{})
	t.Cleanup(client.Close)
	for _, kind := range []routes.Kind{routes.AtMostOnce, routes.Idempotent} {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, err := client.Send(ctx, &instances.Instance{Address: "127.0.0.1:1"}, &relay.Call{
			Request: &relay.Request{Message: relay.Message{Method: "POST", RequestTarget: "/"}, Route: &routes.Route{Kind: kind}}})
		cancel()
		if !errors.Is(err, errkind.Of(errkind.PeerUnreachable)) {
			t.Errorf("%v: got error %v, want one that states that nothing was sent", kind, err)
		}
	}
}

package upstream

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/routedsim"
	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// TestRequestWhoseUpstreamWasChosenLongAgoIsNotSent: the node was suspended, or too busy, before it connected.
func TestRequestWhoseUpstreamWasChosenLongAgoIsNotSent(t *testing.T) {
	server := routedsim.Start(storesim.New(), "app", "west-a", "u1")
	t.Cleanup(server.Close)
	client := NewRouted(Options{}, plainDialect{})
	t.Cleanup(client.Close)
	for _, kind := range []routes.Kind{routes.AtMostOnce, routes.Idempotent} {
		_, err := client.Send(context.Background(), &instances.Instance{Address: server.Address()}, &relay.Call{
			Request: &relay.Request{Message: relay.Message{Method: "POST", RequestTarget: "/"}, Route: &routes.Route{Kind: kind}}, PlacedAt: time.Now().Add(-time.Second)})
		if !errors.Is(err, relay.ErrOutdated) {
			t.Errorf("%v: got error %v, want %v", kind, err, relay.ErrOutdated)
		}
	}
	if n := len(server.Arrivals()); n > 0 {
		t.Errorf("%d requests reached the upstream, want none", n)
	}
}

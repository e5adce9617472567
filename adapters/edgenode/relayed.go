package edgenode

import (
	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/relay"
)

// admitRelayed resolves the route of a relayed request and checks that the request
// may run in this region.
func (n *Node) admitRelayed(in *mesh.RelayedRequest) *relay.Failure {
	table := n.state.table.Load()
	if table == nil {
		return &relay.Failure{Error: errkind.New(errkind.ListsUnavailable, "no routing table is loaded yet")}
	}
	if table.Version < in.TableVersion {
		return &relay.Failure{Error: errkind.New(errkind.ListsOutdated, "routing table version is %d, the sender has version %d", table.Version, in.TableVersion)}
	}
	route := table.ByName(in.RouteName)
	switch {
	case route == nil:
		return &relay.Failure{Error: errkind.New(errkind.ListsOutdated, "routing table version %d has no route %q", table.Version, in.RouteName)}
	case !route.Allows(n.settings.Place.Region):
		return &relay.Failure{Error: errkind.New(errkind.ListsOutdated, "routing table version %d does not allow route %q in this region", table.Version, in.RouteName)}
	}
	account, err := n.relayedAccount(in, route, table)
	if err != nil {
		return &relay.Failure{Error: err}
	}
	in.Route, in.Account = route, account
	if !route.SendsTo(in.Service) {
		in.Service = route.ServiceFor(in.ID)
	}
	if err := n.accept(&in.Request); err != nil {
		return &relay.Failure{Error: err}
	}
	return nil
}

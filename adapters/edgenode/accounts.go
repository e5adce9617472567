package edgenode

import (
	"net/http"
	"slices"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/routes"
)

// authorize returns the client account of a request from a caller. It returns nil if the
// routing table has no accounts, or if the route is public and the request has no known key.
func (n *Node) authorize(h http.Header, route *routes.Route, t *routes.Table) (*routes.Account, *errkind.Error) {
	if !t.HasAccounts() {
		return nil, nil
	}
	key, found := n.deps.Edge.AccountKey(h)
	account := t.AccountByKey(key)
	switch {
	case account == nil && route.Public:
		return nil, nil
	case !found:
		return nil, errkind.New(errkind.Unauthenticated, "route %q needs the key of a client account", route.Name)
	case account == nil:
		return nil, errkind.New(errkind.Unauthenticated, "no client account has the key of the request")
	case !someRegionAllows(route, account):
		return nil, errkind.New(errkind.RegionForbidden, "no region allows both route %q and client account %q", route.Name, account.Name)
	}
	return account, nil
}

// someRegionAllows reports whether any region of the fleet may process the requests of an
// account on a route.
func someRegionAllows(route *routes.Route, account *routes.Account) bool {
	if len(route.Regions) == 0 || len(account.Regions) == 0 {
		return true
	}
	return slices.ContainsFunc(route.Regions, func(r domain.Region) bool { return account.Allows(r) })
}

// relayedAccount resolves the client account of a relayed request and checks that it allows
// this region. Refusals let the sender go on with another node.
func (n *Node) relayedAccount(in *mesh.RelayedRequest, route *routes.Route, t *routes.Table) (*routes.Account, *errkind.Error) {
	if t.HasAccounts() {
		n.deps.Edge.StripAccountHeaders(in.Header) // the sender's table may be an older one without accounts
	}
	if in.AccountName == "" {
		if t.HasAccounts() && !route.Public {
			return nil, errkind.New(errkind.ListsOutdated, "routing table version %d wants a client account for route %q, the sender's version %d does not", t.Version, route.Name, in.TableVersion)
		}
		return nil, nil
	}
	account := t.AccountByName(in.AccountName)
	switch {
	case account == nil:
		return nil, errkind.New(errkind.ListsOutdated, "routing table version %d has no client account %q", t.Version, in.AccountName)
	case !account.Allows(n.settings.Place.Region):
		return nil, errkind.New(errkind.ListsOutdated, "routing table version %d does not allow client account %q in this region", t.Version, in.AccountName)
	}
	return account, nil
}

package edgenode

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/currency"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/routes"
)

// unknownKeyRetryAfter is when a request with an unknown key can be decided on: until then the
// node has read the store.
const unknownKeyRetryAfter = 500 * time.Millisecond

// authorize returns the client account of a request from a caller. It returns nil if the
// routing table has no accounts, or if the route is public and the request has no known key.
func (n *Node) authorize(h http.Header, route *routes.Route, t *routes.Table) (*routes.Account, *errkind.Error) {
	if !t.HasAccounts() {
		return nil, nil
	}
	var proof currency.Proof
	if n.settings.StrictRevocation {
		// The proof may be of a later version than t. The version in force is never older than
		// that of the proof if it is read after it.
		proof = n.keys.Proof()
		if t = n.state.table.Load(); !t.HasAccounts() {
			return nil, nil
		}
	}
	key, found := n.deps.Edge.AccountKey(h)
	account, verdict := (*routes.Account)(nil), currency.Reject
	if found {
		account, verdict = n.accountByKey(key, t, proof)
	}
	if route.Public && publicWithoutAccount(account, verdict) {
		return nil, nil
	}
	switch {
	case !found:
		n.metrics.Count("accounts.refused.no_key", 1)
		return nil, errkind.New(errkind.Unauthenticated, "route %q needs the key of a client account", route.Name)
	case verdict == currency.Reject:
		n.metrics.Count("accounts.refused.unknown_key", 1)
		return nil, errkind.New(errkind.Unauthenticated, "no client account has the key of the request")
	case verdict == currency.Outdated && account == nil:
		n.keys.refresher.WantFresh()
		n.metrics.Count("accounts.refused.key_may_be_new", 1)
		return nil, errkind.New(errkind.ListsOutdated, "the key of the request is unknown, but may be new: the node's routing table was proved current %d ms ago", n.proofAgeMS()).WithRetryAfter(unknownKeyRetryAfter)
	case verdict == currency.Outdated:
		n.countAccount("refused_unproved", account)
		return nil, errkind.New(errkind.ListsOutdated, "the node cannot prove that its routing table is current; the last proof is %d ms old", n.proofAgeMS())
	case !someRegionAllows(route, account):
		n.countAccount("refused_region", account)
		// The request itself is proper, and another version of the table may allow it: a 4xx would
		// tell the caller to give up.
		return nil, errkind.New(errkind.NoCapacity, "no region allows both route %q and client account %q", route.Name, account.Name)
	}
	n.countAccount("admitted", account)
	return account, nil
}

// accountByKey looks up the account with a key, nil if there is none, and decides whether that
// counts. The clock is read last.
func (n *Node) accountByKey(key string, t *routes.Table, proof currency.Proof) (*routes.Account, currency.Verdict) {
	account := t.AccountByKey(key)
	switch {
	case n.settings.StrictRevocation:
		return account, n.keys.policy.Decide(proof, t.Version, account != nil, n.keys.now())
	case account == nil:
		return nil, currency.Reject
	}
	return account, currency.Honour
}

// publicWithoutAccount reports whether a request on a public route is served without an account.
// One with a key that does not count at present is, unless the key's account restricts where the
// request may run.
func publicWithoutAccount(account *routes.Account, verdict currency.Verdict) bool {
	return account == nil || verdict == currency.Outdated && len(account.Regions) == 0
}

// maxAccountMetrics is the maximum number of accounts with metrics of their own; all others are
// counted together.
const maxAccountMetrics = 64

// countAccount counts a decision on a request of an account.
func (n *Node) countAccount(decision string, account *routes.Account) {
	n.metrics.Count("accounts."+decision+"."+n.accountLabels.label(account.Name), 1)
}

// accountLabels holds the names of the accounts that have metrics of their own.
type accountLabels struct {
	mu    sync.Mutex
	names map[string]bool
}

// label returns the name of an account in metrics.
func (l *accountLabels) label(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.names[name] {
		if len(l.names) >= maxAccountMetrics {
			return "others"
		}
		if l.names == nil {
			l.names = make(map[string]bool)
		}
		l.names[name] = true
	}
	return name
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

package edgenode

import (
	"net"
	"time"

	"github.com/crocusspread/crocusspread/adapters/calllimit"
	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const (
	// entryFraction, peerFraction, directoryFraction and statusFraction are the parts of the
	// accepted connections for each listener. Readiness and metrics have statusFraction each.
	entryFraction     = 10.0 / 16
	peerFraction      = 3.0 / 16
	directoryFraction = 2.0 / 16
	statusFraction    = 0.5 / 16
	// headSlack is the number of bytes of a body that a node may read together with a head, and
	// what net/http allows over its limit.
	headSlack = 8 << 10
	// fetchReplyBytes is the memory that a reply with documents takes: the entries of 600 upstreams
	// have some 100 KB, and are there twice while the reply is encoded.
	fetchReplyBytes = 256 << 10
)

// guardListeners wraps the listeners with limits.
func (n *Node) guardListeners(l *listeners) *guarded {
	httpLimits := func(name string, fraction float64) connlimit.Limits {
		limits := n.limits.Listener(name, fraction)
		limits.UnreadTime = connlimit.UnreadTime
		limits.HeadTime, limits.HeadBytes, limits.IdleTime = n.headTime, n.maxHeadBytes, n.idleTime
		limits.UnreadTimeShort, limits.Short = connlimit.UnreadTimeShort, n.requestsShort
		return limits
	}
	wrap := func(inner net.Listener, limits connlimit.Limits) *connlimit.Listener {
		if inner == nil {
			return nil
		}
		return n.guard.Listen(inner, limits)
	}
	peer := n.limits.Listener("peer", peerFraction)
	peer.UnreadTime, peer.UserTimeout = connlimit.PeerUnreadTime, mesh.UserTimeout
	return &guarded{
		entry:     wrap(l.entry, httpLimits("entry", entryFraction)),
		ready:     wrap(l.ready, httpLimits("ready", statusFraction)),
		directory: wrap(l.directory, httpLimits("directory", directoryFraction)),
		metrics:   wrap(l.metrics, httpLimits("metrics", statusFraction)),
		peer:      wrap(l.peer, peer),
	}
}

// meshLimits returns the limits of the calls of other nodes.
func (n *Node) meshLimits() *mesh.Limits {
	return &mesh.Limits{
		Calls:       calllimit.New(n.guard, "peer", n.settings.MemoryBytes, map[string]int{meshpb.Mesh_Fetch_FullMethodName: fetchReplyBytes}),
		ReserveBody: n.reserveBody, ReleaseBody: func(bytes int64) { n.relayedBytes.Add(-bytes) },
	}
}

// reserveBody reserves memory for the body of a relayed request. It returns an error if there is
// none, or if as many requests are in flight as may be.
func (n *Node) reserveBody(bytes int64) *errkind.Error {
	if limit := n.guard.MaxRequests(); n.inFlight() >= limit {
		return errkind.New(errkind.Overloaded, "%d requests in flight", limit)
	}
	if total := n.relayedBytes.Add(bytes) + n.handler.BodyBytes(); total > n.handler.MaxTotalBodyBytes {
		n.relayedBytes.Add(-bytes)
		return errkind.New(errkind.Overloaded, "request bodies in flight take %d bytes", total-bytes)
	}
	return nil
}

// guarded holds the listeners of a node with their limits; metrics may be nil.
type guarded struct {
	entry, ready, directory, peer, metrics *connlimit.Listener
}

// headTime returns how long a head may take.
func (n *Node) headTime() time.Duration {
	if t := n.state.table.Load(); t != nil && t.Limits.HeaderTimeout > 0 {
		return t.Limits.HeaderTimeout + connlimit.HeadTimeSlack
	}
	return headerTimeout
}

// maxHeadBytes returns the size from which on a head is refused.
func (n *Node) maxHeadBytes() int {
	if t := n.state.table.Load(); t != nil && t.Limits.MaxHeaderBytes > 0 {
		return t.Limits.MaxHeaderBytes + headSlack
	}
	return maxHeaderBytes + headSlack
}

// idleTime returns how long clients may keep a connection without a request.
func (n *Node) idleTime() time.Duration {
	if t := n.state.table.Load(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return idleTimeout
}

// requestsShort reports whether most of the requests that may be in flight are, or callers are
// refused.
func (n *Node) requestsShort() bool {
	return float64(n.inFlight()) > connlimit.ShortRequests*float64(n.guard.MaxRequests()) || n.guard.Refusing("entry")
}

// bodiesShort reports whether clients that send their bodies too slowly are cut off.
func (n *Node) bodiesShort() bool {
	return n.requestsShort() || float64(n.handler.BodyBytes()+n.relayedBytes.Load()) > connlimit.ShortBodies*float64(n.handler.MaxTotalBodyBytes)
}

package node

import (
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/adapters/calllimit"
	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/adapters/peer"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const (
	// callerFraction, peerFraction and adminFraction are the parts of the accepted connections for
	// each listener.
	callerFraction = 12.0 / 16
	peerFraction   = 3.0 / 16
	adminFraction  = 1.0 / 16
	// streamFraction is the part of the requests for which there is memory that one HTTP/2 connection of a caller may
	// have as streams, and minStreams and maxStreams its bounds; the latter is net/http's own. net/http
	// holds up to four times as many requests that wait for a stream to end.
	streamFraction = 1.0 / 8
	minStreams     = 16
	maxStreams     = 250
	// callerReceiveBuffer is what such a connection buffers of bodies.
	callerReceiveBuffer = 256 << 10 // bytes
)

// memoryBytes returns the memory of the process.
func (n *Node) memoryBytes() int64 {
	if n.cfg.MemoryBytes > 0 {
		return n.cfg.MemoryBytes
	}
	return connlimit.MachineMemory()
}

func (n *Node) buildClientLimits() {
	memory := n.memoryBytes()
	n.limits = connlimit.Divide(n.cfg.MaxOpenFiles, memory, connlimit.BytesPerRequest)
	n.guard = connlimit.New(n.limits.HeadBytes, n.log, n.metrics)
	n.guard.ShareSockets(n.limits, n.work.requests.Load)
	n.bodies = connlimit.NewBodies(int64(connlimit.BodyFraction * float64(memory)))
	n.receives = connlimit.NewReceives(n.guard, "callers", connlimit.BodyStalled, 0, n.bodiesShort)
}

// guarded holds the listeners of a node with their limits.
type guarded struct{ caller, peer, admin *connlimit.Listener }

// guardListeners wraps the listeners with limits.
func (n *Node) guardListeners(l Listeners) guarded {
	httpLimits := func(name string, fraction float64) connlimit.Limits {
		limits := n.limits.Listener(name, fraction)
		limits.UnreadTime, limits.UnreadTimeShort, limits.Short = connlimit.UnreadTime, connlimit.UnreadTimeShort, n.requestsShort
		limits.HeadTime = func() time.Duration { return n.cfg.HeaderTimeout + connlimit.HeadTimeSlack }
		limits.IdleTime = func() time.Duration { return idleTimeout }
		return limits
	}
	peers := n.limits.Listener("peer", peerFraction)
	peers.UnreadTime, peers.UserTimeout = connlimit.PeerUnreadTime, peer.UserTimeout
	return guarded{
		caller: n.guard.Listen(l.Caller, httpLimits("callers", callerFraction)),
		admin:  n.guard.Listen(l.Admin, httpLimits("admin", adminFraction)),
		peer:   n.guard.Listen(l.Peer, peers),
	}
}

// peerLimits returns the limits of the calls of other nodes.
func (n *Node) peerLimits() *peer.Limits {
	return &peer.Limits{Calls: calllimit.New(n.guard, "peer", n.memoryBytes(), nil), Bodies: n.bodies}
}

// limitRequests wraps a handler to refuse requests beyond those that may be in flight.
func (n *Node) limitRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit := n.guard.MaxRequests(); n.work.requests.Load() >= limit {
			callerapi.Refuse(w, errkind.New(errkind.Overloaded, "%d requests in flight", limit))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// callerStreams returns the number of streams that an HTTP/2 connection may have.
func (n *Node) callerStreams() int {
	return min(max(minStreams, int(streamFraction*float64(n.limits.MemoryRequests))), maxStreams)
}

// requestsShort reports whether most of the requests that may be in flight are, or callers are
// refused.
func (n *Node) requestsShort() bool {
	return float64(n.InFlight()) > connlimit.ShortRequests*float64(n.guard.MaxRequests()) || n.guard.Refusing("callers")
}

// bodiesShort reports whether clients that send their bodies too slowly are cut off.
func (n *Node) bodiesShort() bool { return n.requestsShort() || n.bodies.Short(connlimit.ShortBodies) }

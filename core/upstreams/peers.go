package upstreams

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// maxSamples is the maximum number of retained totals; heartbeats arrive about once
// a second.
const maxSamples = 32

// PeerLoad is the work of one node at one upstream, as sent in heartbeats.
type PeerLoad struct {
	Upstream domain.UpstreamID
	// InFlight is the number of the node's requests; PendingTokens is the number of
	// their prompt tokens that are not yet prefilled.
	InFlight      int
	PendingTokens int
	Leaving       bool
	Suspect       bool
}

// peerCount is the work of one node at one upstream, from its latest heartbeats.
type peerCount struct {
	inFlight int
	pending  int
	// at is when the counts were received; lastSeen is when the latest heartbeat of
	// the node was received.
	at, lastSeen time.Time
}

// sample is the total number of requests in flight of other nodes at a time.
type sample struct {
	at    time.Time
	total int
}

// peers holds the requests that the other nodes of the failure domain have in
// flight at one upstream.
type peers struct {
	byNode  map[domain.NodeID]peerCount
	samples []sample
	// totalAtSample is the total at the sample time of the latest load report.
	totalAtSample int
}

func newPeers() peers { return peers{byNode: make(map[domain.NodeID]peerCount)} }

func (p *peers) observe(node domain.NodeID, load PeerLoad, now time.Time, ttl time.Duration) {
	p.byNode[node] = peerCount{inFlight: load.InFlight, pending: load.PendingTokens, at: now, lastSeen: now}
	if len(p.samples) >= maxSamples {
		p.samples = append(p.samples[:0], p.samples[1:]...)
	}
	p.samples = append(p.samples, sample{at: now, total: p.inFlight(now, ttl)})
}

// observeAlive records a heartbeat of a node that does not mention this upstream.
func (p *peers) observeAlive(node domain.NodeID, now time.Time) {
	c := p.byNode[node]
	c.lastSeen = now
	p.byNode[node] = c
}

func (p *peers) removeNode(node domain.NodeID) { delete(p.byNode, node) }

// pendingTokens returns the pending prompt tokens of the other nodes, minus those
// that the upstream has prefilled since their heartbeats at prefillRate, in tokens
// per second.
func (p *peers) pendingTokens(now time.Time, prefillRate float64) float64 {
	total := 0.0
	for _, c := range p.byNode {
		total += max(float64(c.pending)-prefillRate*now.Sub(c.at).Seconds(), 0)
	}
	return total
}

// inFlight returns the requests that other nodes have in flight and removes the
// nodes whose heartbeats are older than ttl.
func (p *peers) inFlight(now time.Time, ttl time.Duration) int {
	total := 0
	for node, c := range p.byNode {
		if now.Sub(c.lastSeen) > ttl {
			delete(p.byNode, node)
			continue
		}
		if now.Sub(c.at) <= ttl {
			total += c.inFlight
		}
	}
	return total
}

// rebase sets totalAtSample to the total at a past time; the oldest sample is used
// for any earlier time.
func (p *peers) rebase(sampledAt time.Time) {
	p.totalAtSample = 0
	if len(p.samples) > 0 {
		p.totalAtSample = p.samples[0].total
	}
	for _, s := range p.samples {
		if s.at.After(sampledAt) {
			return
		}
		p.totalAtSample = s.total
	}
}

// changeSinceSample returns the change in requests in flight since the sample time
// of the latest load report.
func (p *peers) changeSinceSample(now time.Time, ttl time.Duration) int {
	return p.inFlight(now, ttl) - p.totalAtSample
}

package upstreams

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// maxSamples bounds the kept totals; heartbeats come every second or so.
const maxSamples = 32

// PeerLoad is one node's work at one upstream, as heartbeats carry it.
type PeerLoad struct {
	Upstream domain.UpstreamID
	// InFlight counts the node's requests; PendingTokens the prompt tokens that
	// have no first token yet.
	InFlight      int
	PendingTokens int
	Leaving       bool
	Suspect       bool
}

type peerCount struct {
	inFlight int
	pending  int
	// at is when the counts were said, heard when the node last said anything.
	at, heard time.Time
}

type sample struct {
	at    time.Time
	total int
}

// peers holds what the domain's other nodes have in flight at one upstream.
type peers struct {
	byNode  map[domain.NodeID]peerCount
	samples []sample
	// atReading is the total at the moment of the newest load reading.
	atReading int
}

func newPeers() peers { return peers{byNode: make(map[domain.NodeID]peerCount)} }

func (p *peers) observe(node domain.NodeID, load PeerLoad, now time.Time, ttl time.Duration) {
	p.byNode[node] = peerCount{inFlight: load.InFlight, pending: load.PendingTokens, at: now, heard: now}
	if len(p.samples) >= maxSamples {
		p.samples = append(p.samples[:0], p.samples[1:]...)
	}
	p.samples = append(p.samples, sample{at: now, total: p.inFlight(now, ttl)})
}

// hear notes that a node lives, whose heartbeat left this upstream out.
func (p *peers) hear(node domain.NodeID, now time.Time) {
	c := p.byNode[node]
	c.heard = now
	p.byNode[node] = c
}

func (p *peers) forget(node domain.NodeID) { delete(p.byNode, node) }

// backlog returns the others' pending prompt tokens, less what the upstream has
// prefilled since their heartbeats at speed, in tokens a second.
func (p *peers) backlog(now time.Time, speed float64) float64 {
	total := 0.0
	for _, c := range p.byNode {
		total += max(float64(c.pending)-speed*now.Sub(c.at).Seconds(), 0)
	}
	return total
}

func (p *peers) inFlight(now time.Time, ttl time.Duration) int {
	total := 0
	for node, c := range p.byNode {
		if now.Sub(c.heard) > ttl {
			delete(p.byNode, node)
			continue
		}
		if now.Sub(c.at) <= ttl {
			total += c.inFlight
		}
	}
	return total
}

// rebase finds the total at a past moment; the oldest sample stands for what was
// before it.
func (p *peers) rebase(reading time.Time) {
	p.atReading = 0
	if len(p.samples) > 0 {
		p.atReading = p.samples[0].total
	}
	for _, s := range p.samples {
		if s.at.After(reading) {
			return
		}
		p.atReading = s.total
	}
}

func (p *peers) sinceReading(now time.Time, ttl time.Duration) int {
	return p.inFlight(now, ttl) - p.atReading
}

package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

// Notice informs the other nodes of the region about a prompt that this node sent
// to an engine. It prevents them from sending another prompt there at the same
// time and from having the same prompt prefilled on another engine.
type Notice struct {
	Service  string
	Instance domain.UpstreamID
	// Tokens is the number of prompt tokens that the engine has to prefill.
	Tokens int
	// Shared identifies the shared parts of the prompt; zero if there are none, or if Parts tells
	// them.
	Shared uint64
	// Slowdown is what the engine has just stated; zero if it has not.
	Slowdown float64
	// ReservedTokens is the engine's memory that the request takes until its end, without the shared
	// parts, and Duration the expected time until then. Parts are the parts of the prompt in order, the
	// last of which is not shared.
	ReservedTokens int
	Duration       time.Duration
	Parts          []placement.Part
}

// minNoticeTokens is the smallest prompt without shared parts that is announced to
// other nodes: a tenth of what an engine prefills between two events.
const minNoticeTokens = 1500

// ApplyNotices applies the notices received from other nodes.
func (c *Catalog) ApplyNotices(now time.Time, notices []Notice) {
	for _, n := range notices {
		c.Pool(n.Service).applyNotice(now, n)
	}
}

func (p *Pool) applyNotice(now time.Time, n Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(n.Instance)
	if u == nil {
		return // the entry has not been received yet or was removed
	}
	p.recordSlowdown(u, n.Slowdown, now)
	u.backlog.add(now, p.prefillRateAt(now, u), n.Tokens)
	if p.tracksMemory() && n.Duration > 0 {
		d := min(maxReservation, time.Duration(remoteMargin*float64(n.Duration)))
		r := reservation{private: n.ReservedTokens, parts: n.Parts, duration: d, until: now.Add(d)}
		u.reserved.addRemote(now, r)
		p.sizes.recordLarge(r.all())
		p.recordParts(now, u, n.Parts)
	} else if n.Shared != 0 {
		p.prompts.record(now, n.Shared, u.ID)
	}
}

// minSlowdownNews is the difference between a stated and the expected slowdown from which the other
// nodes of the region are told at once: an upstream is slow for no longer than two exchanges.
const minSlowdownNews = 0.5

// tellSlowdown informs the other nodes of a slowdown that the upstream has just stated, if it differs
// from what they expect.
func (p *Pool) tellSlowdown(u *upstream, expected float64) {
	if p.options.SendNotice == nil || u.slowdown.ratio-expected < minSlowdownNews {
		return
	}
	p.options.SendNotice(Notice{Service: p.service, Instance: u.ID, Slowdown: u.slowdown.ratio})
}

// sendNotice tells the other nodes of a request that is sent to an engine. It returns false if the
// request is too small.
func (p *Pool) sendNotice(now time.Time, t *Ticket) bool {
	if t.tokens < minNoticeTokens && !t.shared {
		return false
	}
	if p.options.SendNotice == nil {
		return true
	}
	n := Notice{Service: p.service, Instance: t.upstream.ID, Tokens: t.tokens}
	if t.shared && !t.reserved {
		n.Shared = t.prompt
	}
	if t.reserved {
		n.ReservedTokens, n.Parts = t.reservation.private, t.reservation.parts
		n.Duration = t.reservation.duration
	}
	p.options.SendNotice(n)
	return true
}

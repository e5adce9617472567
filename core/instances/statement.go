package instances

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// Statement is what some node of the region knows of an upstream's process, mostly what it said of itself. Nodes tell
// each other.
type Statement struct {
	Service  string
	Instance domain.UpstreamID
	// Started is that of the process that said it.
	Started int64
	// ColdFor is the remaining time for which it is cold; zero if it did not say so.
	ColdFor time.Duration
	// Leaving is set if it said that it leaves.
	Leaving bool
	// Lost is when connections to it were refused and a restart is presumed since; nil if none.
	Lost *ToldLoss
	// WarmAge is the time since the node asked for its health and it stated that it is warm; zero if that is not known, or
	// too long ago to matter.
	WarmAge time.Duration
}

func (s *Statement) isEmpty() bool {
	return s.ColdFor == 0 && !s.Leaving && s.Lost == nil && s.WarmAge == 0
}

// isUrgent reports whether a delay of the statement may flood the upstream.
func (s *Statement) isUrgent() bool { return s.ColdFor > 0 || s.Lost != nil }

const (
	// maxStatements is the maximum number of statements in one message.
	maxStatements = 64
	// maxColdFor is the longest cold phase that an upstream may state.
	maxColdFor = 10 * time.Minute
)

// Statements returns the statements in force, at most maxStatements of them, the urgent ones first.
func (c *Catalog) Statements(now time.Time) []Statement {
	var list []Statement
	c.ForEach(func(p *Pool) { list = append(list, p.statements(now)...) })
	if len(list) > maxStatements { // others are in the next message
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		slices.SortStableFunc(list, func(a, b Statement) int {
			switch {
			case a.isUrgent() == b.isUrgent():
				return 0
			case a.isUrgent():
				return -1
			}
			return 1
		})
	}
	return list[:min(maxStatements, len(list))]
}

func (p *Pool) statements(now time.Time) []Statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Statement
	only := p.countLocal() == 1
	for _, u := range p.upstreams {
		s := Statement{Service: p.service, Instance: u.ID, Started: u.Started, Leaving: u.leavingStated,
			ColdFor: max(0, u.coldness.statedUntil.Sub(now)), Lost: u.coldness.restart.toldLoss(now, &p.paths, only), WarmAge: u.coldness.restart.warmAge(now)}
		if !s.isEmpty() {
			list = append(list, s)
		}
	}
	return list
}

// ApplyStatements adopts the statements of a message from another node. The message was composed after composedAfter; zero
// means that it may have been underway for any time.
func (c *Catalog) ApplyStatements(now, composedAfter time.Time, list []Statement) {
	for _, s := range list {
		c.Pool(s.Service).applyStatement(now, composedAfter, s)
	}
}

// AwaitsWarm reports whether one of the statements of a message would settle lost connections, if it were known when the
// message was composed.
func (c *Catalog) AwaitsWarm(list []Statement) bool {
	return slices.ContainsFunc(list, func(s Statement) bool { return s.WarmAge > 0 && c.Pool(s.Service).presumesRestart(s.Instance) })
}

func (p *Pool) presumesRestart(id domain.UpstreamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(id)
	return u != nil && u.coldness.restart.presumed()
}

func (p *Pool) applyStatement(now, composedAfter time.Time, s Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(s.Instance)
	if s.Leaving && (u == nil || u.Started != s.Started) {
		p.toldLeaving.record(now, process{s.Instance, s.Started})
	}
	if u == nil {
		return
	}
	p.applyToldLoss(now, u, s.Lost)
	if u.Started != s.Started {
		return
	}
	if s.ColdFor > 0 {
		until := now.Add(min(s.ColdFor, maxColdFor))
		u.coldness.statedUntil = maxTime(u.coldness.statedUntil, until)
		p.extendCold(now, u, until, coldFromStatement)
	}
	if s.Leaving {
		p.setLeaving(u, leavingFromNode)
	}
	if !p.hasColdPhase() {
		return
	}
	// A message that took long must not make the statement look newer than a loss.
	if lostAt := u.coldness.restart.lost.from; s.WarmAge > 0 && !composedAfter.IsZero() && u.coldness.restart.recordWarm(composedAfter.Add(-s.WarmAge), true) {
		p.recordNotCold(now, u, sameFromNode, lostAt)
	}
}

// applyToldLoss adopts the refused connections that another node tells of, whichever process it expected at the address.
func (p *Pool) applyToldLoss(now time.Time, u *upstream, lost *ToldLoss) {
	if wasCold := u.cold(now); lost != nil && p.hasColdPhase() && u.coldness.restart.recordToldLoss(now, *lost) {
		p.startColdPace(now, u, wasCold, coldFromToldLoss)
	}
}

// RecordHealthRefused records that the connection for a health request was refused.
func (c *Catalog) RecordHealthRefused(now time.Time, h HealthCheck) {
	p := c.Pool(h.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.find(h.ID); u != nil && u.Started == h.Started {
		p.recordLoss(now, h.SentAt, u, LossRefused)
	}
}

// RecordHealth records the answer to a health request that was sent at sentAt.
func (c *Catalog) RecordHealth(now, sentAt time.Time, h HealthCheck, coldFor time.Duration) {
	p := c.Pool(h.Service)
	if coldFor > 0 {
		p.applyStatement(now, time.Time{}, Statement{Service: h.Service, Instance: h.ID, Started: h.Started, ColdFor: coldFor})
		p.options.StatementsChanged()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(h.ID)
	if u == nil || u.Started != h.Started {
		return
	}
	if !u.coldness.restart.presumed() {
		u.coldness.restart.pathRefused = false
		return
	}
	lostAt := u.coldness.restart.lost.from
	if u.coldness.restart.recordWarm(sentAt, false) {
		p.recordNotCold(now, u, sameFromHealth, lostAt)
	}
	p.options.StatementsChanged()
}

// record returns the present record of the upstream's process. Since the slot was reserved, the process may have
// been removed and registered again.
func (t *Ticket) record() *upstream {
	if u := t.pool.find(t.ID); u != nil && u.Started == t.Started {
		return u
	}
	return t.upstream
}

// RecordReport records what the upstream says of itself in the header of an answer, beside its load.
func (t *Ticket) RecordReport(now time.Time, r ReportedLoad) {
	t.RecordRateLimit(now, r.RateLimit)
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	u := t.record()
	p.recordAnswer(now, u, t.connectedAt)
	p.recordBrittle(now, t.SentAt, r)
	if lostAt := u.coldness.restart.lost.from; u.coldness.restart.recordReply(t.SentAt, t.connectedAt, p.config.ColdStart) {
		p.recordNotCold(now, u, sameFromAnswer, lostAt)
	}
	if t.endsSilence && r.Silence == 0 {
		t.endsSilence = false
		u.silence.answered(now, true)
	}
	if r.Silence > 0 {
		u.silence.ask(now, r.Silence)
		p.options.Log.Log(event.InstanceSilenced, event.F("instance", u.ID), event.F("service", p.service), event.F("for_ms", min(r.Silence, maxSilence).Milliseconds()))
	}
	if r.Leaving && !u.leavingStated {
		p.setLeaving(u, leavingFromAnswer)
		p.options.StatementsChanged()
	}
}

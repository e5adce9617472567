package instances

import (
	"math/rand/v2"
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
	Lost *Ages
	// Settled is a period in which lost connections are no sign of a restart, or of one that is still cold; nil if
	// there is none to tell.
	Settled *Ages
}

func (s *Statement) isEmpty() bool {
	return s.ColdFor == 0 && !s.Leaving && s.Lost == nil && s.Settled == nil
}

const (
	// maxStatements is the maximum number of statements in one message.
	maxStatements = 32
	// maxColdFor is the longest cold phase that an upstream may state.
	maxColdFor = 10 * time.Minute
)

// Statements returns the statements in force, at most maxStatements of them.
func (c *Catalog) Statements(now time.Time) []Statement {
	var list []Statement
	c.ForEach(func(p *Pool) { list = append(list, p.statements(now)...) })
	if len(list) > maxStatements { // others are in the next message
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return list[:min(maxStatements, len(list))]
}

func (p *Pool) statements(now time.Time) []Statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Statement
	for _, u := range p.upstreams {
		s := Statement{Service: p.service, Instance: u.ID, Started: u.Started, Leaving: u.leavingStated,
			ColdFor: max(0, u.coldness.statedUntil.Sub(now)), Lost: u.coldness.restart.toldLoss(now), Settled: u.coldness.restart.toldSettled(now)}
		if !s.isEmpty() {
			list = append(list, s)
		}
	}
	return list
}

// ApplyStatements adopts statements that this node or another one received.
func (c *Catalog) ApplyStatements(now time.Time, list []Statement) {
	for _, s := range list {
		c.Pool(s.Service).applyStatement(now, s)
	}
}

func (p *Pool) applyStatement(now time.Time, s Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(s.Instance)
	if u == nil || u.Started != s.Started {
		return
	}
	if s.ColdFor > 0 {
		until := now.Add(min(s.ColdFor, maxColdFor))
		u.coldness.statedUntil = until
		p.extendCold(now, u, until, coldFromStatement)
	}
	if s.Leaving {
		p.setLeaving(u, "another node")
	}
	if !p.hasColdPhase() {
		return
	}
	lostAt := u.coldness.restart.lost.from
	if s.Settled != nil && u.coldness.restart.recordSettled(s.settledBefore(now)) {
		p.recordNotCold(now, u, sameFromNode, lostAt)
	}
	if wasCold := u.cold(now); s.Lost != nil && u.coldness.restart.recordToldLoss(now, s.Lost.before(now)) {
		p.startColdPace(now, u, wasCold, coldFromToldLoss)
	}
}

// settledBefore returns the period in which losses are settled, at its latest possible beginning and earliest possible
// end.
func (s *Statement) settledBefore(now time.Time) period {
	told := s.Settled.before(now)
	return period{told.from, told.until.Add(-maxMessageDelay)}
}

// RecordHealthRefused records that the connection for a health request was refused.
func (c *Catalog) RecordHealthRefused(now time.Time, h HealthCheck) {
	p := c.Pool(h.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.find(h.ID); u != nil && u.Started == h.Started {
		p.recordLoss(now, u, LossRefused)
	}
}

// RecordHealth records the answer to a health request that was sent at sentAt.
func (c *Catalog) RecordHealth(now, sentAt time.Time, h HealthCheck, coldFor time.Duration) {
	p := c.Pool(h.Service)
	if coldFor > 0 {
		p.applyStatement(now, Statement{Service: h.Service, Instance: h.ID, Started: h.Started, ColdFor: coldFor})
		p.options.StatementsChanged()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(h.ID)
	if u == nil || u.Started != h.Started || !u.coldness.restart.presumed() {
		return
	}
	lostAt := u.coldness.restart.lost.from
	if u.coldness.restart.recordWarm(now, sentAt) {
		p.recordNotCold(now, u, sameFromHealth, lostAt)
	}
	p.options.StatementsChanged()
}

func (p *Pool) setLeaving(u *upstream, from string) {
	if !u.leavingStated {
		u.leavingStated = true
		p.options.Log.Log(event.InstanceLeaving, event.F("instance", u.ID), event.F("service", p.service), event.F("from", from))
	}
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
	if t.endsSilence && r.Silence == 0 {
		t.endsSilence = false
		u.silence.answered(now, true)
	}
	if r.Silence > 0 {
		u.silence.ask(now, r.Silence)
		p.options.Log.Log(event.InstanceSilenced, event.F("instance", u.ID), event.F("service", p.service), event.F("for_ms", min(r.Silence, maxSilence).Milliseconds()))
	}
	if r.Leaving && !u.leavingStated {
		p.setLeaving(u, "answer")
		p.options.StatementsChanged()
	}
}

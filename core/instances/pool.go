package instances

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/routes"
)

const (
	// defaultHold and defaultFirst are assumed until answers were seen.
	defaultHold  = 300 * time.Millisecond
	defaultFirst = 40 * time.Millisecond
	// learnGain is the weight of one answer in the pool's averages.
	learnGain = 0.02
)

// Pool holds the instances of one service in the own region.
type Pool struct {
	service string
	options *Options

	mu        sync.Mutex
	config    routes.Service
	upstreams []*upstream
	prompts   prompts
	hold      time.Duration
	slowness  float64
	// maxPending bounds the backlog of an engine; see placement.Speeds.
	maxPending float64
	failures   float64
	candidates []placement.Candidate
}

func newPool(service string, o *Options) *Pool {
	return &Pool{service: service, options: o, prompts: make(prompts), hold: defaultHold, slowness: 1}
}

func (p *Pool) configure(s routes.Service, maxEventGap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = s
	p.maxPending = maxPendingTokens(s.Engine, maxEventGap)
}

const (
	// plainStep and readingStep are how long an engine takes for one token of
	// each stream, without and with a piece of a prompt read in between, and
	// pieceTokens is the size of such a piece. Measured on the users' engines.
	plainStep   = 6 * time.Millisecond
	readingStep = 55 * time.Millisecond
	pieceTokens = 4096
	// gapShare is the part of the longest pause that backlogs may take up.
	gapShare = 0.9
)

// maxPendingTokens returns the backlog from which streams pause for longer than
// maxGap between events; zero if they never do.
func maxPendingTokens(e *routes.Engine, maxGap time.Duration) float64 {
	if e == nil || maxGap <= 0 || e.EventTokens <= 0 {
		return 0
	}
	steps := time.Duration(e.EventTokens)
	pieces := float64(time.Duration(gapShare*float64(maxGap))-steps*plainStep) / float64(readingStep-plainStep)
	if pieces >= float64(e.EventTokens) {
		return 0
	}
	return max(1, pieces) * pieceTokens
}

func (p *Pool) find(id domain.UpstreamID) *upstream {
	for _, u := range p.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// put adopts an instance's entry.
func (p *Pool) put(now time.Time, in Instance, evacuated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(in.ID)
	if u == nil || u.Started != in.Started {
		fresh := &upstream{Instance: in, evacuated: evacuated, slowness: p.slowness}
		if u == nil {
			p.upstreams = append(p.upstreams, fresh)
		} else {
			p.upstreams[slices.Index(p.upstreams, u)] = fresh
		}
		fresh.warmBy(now.Add(in.ColdFor))
		p.changed(fresh, "registered")
		return
	}
	if in.Leaving != u.Leaving || in.Address != u.Address {
		defer p.changed(u, "entry changed")
	}
	u.Instance = in
	if in.ColdFor > 0 {
		u.warmBy(now.Add(in.ColdFor))
	}
}

// warmBy notes that the upstream may be cold until then; an earlier word that
// gives a later time stands.
func (u *upstream) warmBy(t time.Time) {
	if t.After(u.coldUntil) {
		u.coldUntil = t
	}
}

func (p *Pool) changed(u *upstream, why string) {
	p.options.Log.Log(event.InstanceChanged, event.F("instance", u.ID), event.F("service", p.service),
		event.F("address", u.Address), event.F("failure_domain", u.Place.FailureDomain),
		event.F("leaving", u.Leaving), event.F("cold_ms", u.ColdFor.Milliseconds()), event.F("why", why))
}

func (p *Pool) remove(id domain.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u *upstream) bool { return u.ID == id })
}

// evacuate marks the instances of evacuated failure domains. Those that are
// taken back count as cold: they may have been restarted meanwhile.
func (p *Pool) evacuate(now time.Time, before, after map[domain.FailureDomain]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		fd := u.Place.FailureDomain
		u.evacuated = after[fd]
		if before[fd] && !after[fd] {
			u.warmBy(now.Add(p.config.ColdStart))
		}
	}
}

func (p *Pool) speeds() placement.Speeds {
	s := placement.Speeds{Hold: p.hold, First: defaultFirst}
	if p.config.Engine != nil {
		s.PrefillRate = p.options.PrefillRate
		s.MaxPendingTokens = p.maxPending
	}
	return s
}

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
	// tokensEach is the average number of prompt tokens that a request has to
	// have read.
	tokensEach float64
	slowness   float64
	failures   float64
	candidates []placement.Candidate
}

func newPool(service string, o *Options) *Pool {
	return &Pool{service: service, options: o, prompts: make(prompts), hold: defaultHold, slowness: 1}
}

// Service returns the service's name.
func (p *Pool) Service() string { return p.service }

func (p *Pool) configure(s routes.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = s
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

func (p *Pool) instances(now time.Time) []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Instance, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		in := u.Instance
		in.ColdFor = max(0, u.coldUntil.Sub(now))
		list = append(list, in)
	}
	return list
}

// Known tells if any instance of the service is registered in the own region.
func (p *Pool) Known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.upstreams, func(u *upstream) bool {
		return u.Place.Region == p.options.Self.Region
	})
}

func (p *Pool) speeds() placement.Speeds {
	s := placement.Speeds{Hold: p.hold, First: defaultFirst}
	if p.config.Engine != nil {
		s.PrefillRate = p.options.PrefillRate
	}
	return s
}

package instances

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/routes"
)

const (
	// defaultSlotTime and defaultIdleTTFB, the time to the first byte without queueing and
	// prefill, are assumed until answers have been measured.
	defaultSlotTime = 300 * time.Millisecond
	defaultIdleTTFB = 40 * time.Millisecond
	// poolGain is the weight of one answer in the pool's moving averages.
	poolGain = 0.02
)

// Pool holds the instances of one service. Requests are placed only on those of the
// local region; the others only count when a shared prompt's preferred upstream is
// determined.
type Pool struct {
	service string
	options *Options
	paths   paths

	mu           sync.Mutex
	config       routes.Service
	upstreams    []*upstream
	prompts      prompts
	holders      holders
	meanSlotTime time.Duration
	latencyRatio float64
	// maxEventGap is the maximum time between two events of the service's streams; zero
	// means no limit.
	maxEventGap time.Duration
	prefillRate prefillRate
	idleTTFB    idleTTFB
	preemption  preemption
	sizes       requestSizes
	// speedsStated is set once an upstream has stated another speed than the usual one.
	speedsStated bool
	// accounts is set if the deployment has client accounts.
	accounts    bool
	failureRate float64
	urgency     urgencyMix
	brittle     brittleness
	candidates  []placement.Candidate
	// removed holds the records of upstreams that were removed in the last removedRetention.
	removed map[domain.UpstreamID]removedUpstream
	// toldLeaving holds the processes without a record of which other nodes told that they leave.
	toldLeaving toldLeaving
	// software is what is known of versions that are not registered any more.
	software softwareHistory
	// idleTimeout is the shortest time after which upstreams close idle connections.
	idleTimeout idleTimeout
	// tickedAt is when it was last known that this node is not suspended.
	tickedAt time.Time
}

func newPool(service string, o *Options) *Pool {
	return &Pool{service: service, options: o, prompts: make(prompts), holders: make(holders), removed: make(map[domain.UpstreamID]removedUpstream), toldLeaving: make(toldLeaving), software: make(softwareHistory), meanSlotTime: defaultSlotTime, latencyRatio: 1,
		prefillRate: prefillRate{tokensPerMS: o.PrefillRate}, idleTTFB: idleTTFB{value: defaultIdleTTFB}, sizes: requestSizes{tokenTime: decodeStep}}
}

func (p *Pool) configure(s routes.Service, maxEventGap time.Duration, accounts bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = s
	p.maxEventGap = maxEventGap
	p.accounts = accounts
}

const (
	// decodeStep is the time that an engine takes to generate one token of each stream.
	// prefillChunkTokens is the size of a prefill chunk that it processes in the same step.
	decodeStep         = 6 * time.Millisecond
	prefillChunkTokens = 4096
	// backlogGapShare is the fraction of the maximum event gap that backlogs may
	// use.
	backlogGapShare = 0.9
)

// maxPendingTokens returns the backlog above which streams pause for longer than
// maxGap between events; zero if they never do. rate is the engine's prefill rate in
// tokens per millisecond at its usual speed.
func maxPendingTokens(e *routes.Engine, maxGap time.Duration, rate, slowdown float64) float64 {
	if e == nil || maxGap <= 0 || e.TokensPerEvent <= 0 {
		return 0
	}
	steps := time.Duration(e.TokensPerEvent)
	mixedStep := time.Duration(prefillChunkTokens / rate * float64(time.Millisecond))
	if mixedStep <= decodeStep {
		return 0
	}
	gap := time.Duration(backlogGapShare * float64(maxGap) / slowdown)
	chunks := float64(gap-steps*decodeStep) / float64(mixedStep-decodeStep)
	if chunks >= float64(e.TokensPerEvent) {
		return 0
	}
	return max(1, chunks) * prefillChunkTokens
}

func (p *Pool) find(id domain.UpstreamID) *upstream {
	for _, u := range p.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// put adds or updates an instance.
func (p *Pool) put(now time.Time, in Instance, changed, evacuated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(in.ID)
	if u == nil || u.Started != in.Started {
		if u != nil {
			p.holders.forget(u)
			p.software.recordGone(now, u)
		}
		replacement := &upstream{Instance: in, idHash: placement.HashID(in.ID), evacuated: evacuated, latencyRatio: p.latencyRatio}
		replacement.inherit(now, p.formerRecord(now, u, in.ID))
		if u == nil {
			p.upstreams = append(p.upstreams, replacement)
		} else {
			p.upstreams[slices.Index(p.upstreams, u)] = replacement
		}
		p.logChange(replacement, "registered")
		if p.toldLeaving.has(now, process{in.ID, in.Started}) {
			p.setLeaving(replacement, leavingFromNode)
		}
		p.extendCold(now, replacement, now.Add(in.ColdRemaining), coldFromEntry)
		return
	}
	if in.Leaving != u.Leaving || in.Address != u.Address {
		defer p.logChange(u, "entry changed")
	}
	if lostAt := u.coldness.restart.lost.from; changed && in.Sequence > u.Sequence && u.coldness.restart.recordEntry(now) {
		p.recordNotCold(now, u, sameFromEntry, lostAt)
	}
	u.Instance = in
	if in.ColdRemaining > 0 {
		p.extendCold(now, u, now.Add(in.ColdRemaining), coldFromEntry)
	}
}

func (p *Pool) logChange(u *upstream, why string) {
	p.options.Log.Log(event.InstanceChanged, event.F("instance", u.ID), event.F("service", p.service),
		event.F("address", u.Address), event.F("failure_domain", u.Place.FailureDomain),
		event.F("software", u.Software), event.F("leaving", u.Leaving), event.F("cold_ms", u.ColdRemaining.Milliseconds()), event.F("why", why))
}

func (p *Pool) remove(now time.Time, id domain.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.removed, func(_ domain.UpstreamID, r removedUpstream) bool { return now.Sub(r.at) > removedRetention })
	if u := p.find(id); u != nil {
		p.removed[id] = removedUpstream{u, now}
		p.software.recordGone(now, u)
		p.holders.forget(u)
	}
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u *upstream) bool { return u.ID == id })
}

// removedUpstream is the record of an upstream that was removed.
type removedUpstream struct {
	*upstream
	at time.Time
}

// formerRecord returns the record that a new one with the same ID replaces: the present one, or one
// that was removed; nil if there is none.
func (p *Pool) formerRecord(now time.Time, present *upstream, id domain.UpstreamID) *upstream {
	r, found := p.removed[id]
	delete(p.removed, id)
	if present != nil || !found || now.Sub(r.at) > removedRetention {
		return present
	}
	return r.upstream
}

// setEvacuated marks the instances of evacuated failure domains. Instances of
// domains that are no longer evacuated count as cold because they may have been
// restarted in the meantime.
func (p *Pool) setEvacuated(now time.Time, before, after map[domain.FailureDomain]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		fd := u.Place.FailureDomain
		u.evacuated = after[fd]
		if before[fd] && !after[fd] {
			p.extendCold(now, u, now.Add(p.config.ColdStart), coldFromEvacuation)
		}
	}
}

func (p *Pool) performance() placement.ServicePerformance {
	s := placement.ServicePerformance{MeanSlotTime: p.meanSlotTime, IdleTTFB: p.idleTTFB.value}
	// Engines whose memory is known are told apart by what they hold; spreading requests over
	// them fills some while others have slots.
	s.SpeedsVary = p.speedsStated && !p.tracksMemory()
	if p.config.Engine != nil {
		s.PrefillRate = p.prefillRate.tokensPerMS
		s.MaxPendingTokens = maxPendingTokens(p.config.Engine, p.maxEventGap, p.prefillRate.tokensPerMS, 1)
	}
	if p.tracksMemory() {
		s.PreemptionCost = p.preemption.cost(p.prefillRate.tokensPerMS, p.meanSlotTime, p.config.Engine.Slots)
		s.MeanNeedTokens = p.sizes.private
		if p.preemption.mixed() {
			s.LessUrgentShare = p.preemption.lessUrgent
		}
	}
	return s
}

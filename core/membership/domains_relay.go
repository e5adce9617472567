package membership

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// relay returns up to maxReadings domains with up to n targets in all: what
// changed goes first, then the rest in turn. Now and then one domain more comes
// with its nodes.
func (t *domainTable) relay(now time.Time, n int) []DomainLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	picked := make([]DomainLoad, 0, maxReadings)
	for _, r := range t.byTurn() {
		if len(picked) == maxReadings {
			break
		}
		t.picks++
		r.turn.taken(t.picks)
		d := DomainLoad{Sequence: r.sequence, AgeMillis: r.ageMillis(now)}
		d.Place.FailureDomain = r.place.FailureDomain
		if left := detailed - len(picked); left > 0 && n > 0 {
			d.Targets = r.pick((n+left-1)/left, &t.picks)
			n -= len(d.Targets)
		}
		picked = append(picked, d)
	}
	t.relays++
	if t.relays%detailEvery == 0 && len(t.order) > 0 {
		picked = append(picked, t.nextDetail(now))
	}
	return picked
}

// nextDetail returns the next domain in turn with its region, round trip time
// and nodes.
func (t *domainTable) nextDetail(now time.Time) DomainLoad {
	t.nextOf = (t.nextOf + 1) % len(t.order)
	r := t.records[t.order[t.nextOf]]
	nodes := r.refs()
	return DomainLoad{
		Place:     r.place,
		Sequence:  r.sequence,
		AgeMillis: r.ageMillis(now),
		RTTMicros: uint32(r.rtt.Microseconds()),
		LiveNodes: r.liveNodes,
		Nodes:     append(nodes[:min(detailNodes, len(nodes))], r.draining...),
	}
}

func (t *domainTable) byTurn() []*domainRecord {
	all := make([]*domainRecord, 0, len(t.order))
	for _, fd := range t.order {
		if r := t.records[fd]; !r.heard.IsZero() {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *domainRecord) int { return a.turn.compare(b.turn) })
	return all
}

// sequenceOf returns the newest sequence known of a domain.
func (t *domainTable) sequenceOf(fd domain.FailureDomain) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[fd]; ok {
		return r.sequence
	}
	return 0
}

func (r *domainRecord) ageMillis(now time.Time) uint32 {
	return uint32(max(0, now.Sub(r.heard).Milliseconds()))
}

// pick returns up to n targets, changed ones first, then the rest in turn.
func (r *domainRecord) pick(n int, picks *uint64) []TargetLoad {
	all := make([]*targetRecord, 0, len(r.targets))
	for _, rec := range r.targets {
		all = append(all, rec)
	}
	slices.SortFunc(all, func(a, b *targetRecord) int {
		if c := a.turn.compare(b.turn); c != 0 {
			return c
		}
		return compareTargets(a.load.Target, b.load.Target)
	})
	picked := make([]TargetLoad, 0, n)
	for _, rec := range all[:min(n, len(all))] {
		*picks++
		rec.turn.taken(*picks)
		picked = append(picked, rec.load)
	}
	return picked
}

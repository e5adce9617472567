package membership

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// relay returns up to maxRelayedDomains domains with up to n targets in total: changed
// items first, then the rest in rotation. Every detailInterval calls it adds one
// domain with its nodes.
func (t *domainTable) relay(now time.Time, n int) []DomainLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := make([]DomainLoad, 0, maxRelayedDomains)
	for _, r := range t.byPriority() {
		if len(selected) == maxRelayedDomains {
			break
		}
		t.relaySequence++
		r.priority.recordRelay(t.relaySequence)
		d := DomainLoad{Sequence: r.sequence, AgeMillis: r.ageMillis(now)}
		d.Place.FailureDomain = r.place.FailureDomain
		if remaining := maxDetailedDomains - len(selected); remaining > 0 && n > 0 {
			d.Targets = r.pickTargets((n+remaining-1)/remaining, &t.relaySequence)
			n -= len(d.Targets)
		}
		selected = append(selected, d)
	}
	t.relayMessages++
	if t.relayMessages%detailInterval == 0 && len(t.order) > 0 {
		selected = append(selected, t.nextDetail(now))
	}
	return selected
}

// nextDetail returns the next domain in the rotation with its region, round-trip time
// and nodes.
func (t *domainTable) nextDetail(now time.Time) DomainLoad {
	t.nextDetailed = (t.nextDetailed + 1) % len(t.order)
	r := t.records[t.order[t.nextDetailed]]
	nodes := r.reachableNodes()
	return DomainLoad{
		Place:     r.place,
		Sequence:  r.sequence,
		AgeMillis: r.ageMillis(now),
		RTTMicros: uint32(r.rtt.Microseconds()),
		LiveNodes: r.liveNodes,
		Nodes:     append(nodes[:min(maxDetailNodes, len(nodes))], r.draining...),
	}
}

func (t *domainTable) byPriority() []*domainRecord {
	all := make([]*domainRecord, 0, len(t.order))
	for _, fd := range t.order {
		if r := t.records[fd]; !r.reportedAt.IsZero() {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *domainRecord) int { return a.priority.compare(b.priority) })
	return all
}

// sequenceOf returns the highest known sequence of a domain.
func (t *domainTable) sequenceOf(fd domain.FailureDomain) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[fd]; ok {
		return r.sequence
	}
	return 0
}

func (r *domainRecord) ageMillis(now time.Time) uint32 {
	return uint32(max(0, now.Sub(r.reportedAt).Milliseconds()))
}

// pickTargets returns up to n targets: changed ones first, then the rest in rotation.
func (r *domainRecord) pickTargets(n int, relaySequence *uint64) []TargetLoad {
	all := make([]*targetRecord, 0, len(r.targets))
	for _, target := range r.targets {
		all = append(all, target)
	}
	slices.SortFunc(all, func(a, b *targetRecord) int {
		if c := a.priority.compare(b.priority); c != 0 {
			return c
		}
		return compareTargets(a.load.Target, b.load.Target)
	})
	selected := make([]TargetLoad, 0, n)
	for _, target := range all[:min(n, len(all))] {
		*relaySequence++
		target.priority.recordRelay(*relaySequence)
		selected = append(selected, target.load)
	}
	return selected
}

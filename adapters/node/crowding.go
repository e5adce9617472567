package node

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/routing"
)

const (
	// crowdedFactor and crowdedSlack say how much more than its part of the slots
	// a node may have in flight: room for a queue of about one request a slot, and
	// for bursts where slots are few.
	crowdedFactor = 2
	crowdedSlack  = 2
)

// crowded tells if a node with own requests in flight should send no more to
// slots that it shares with other nodes. Nodes know of each other's work with a
// delay: whatever others seem to have, each may use its even share.
func crowded(slots, own, others, nodes int) bool {
	if slots == 0 {
		return false
	}
	part := max(float64(slots)/float64(max(1, nodes)), float64(slots-others))
	return float64(own) >= crowdedFactor*part+crowdedSlack
}

// decide chooses a place for the request. Where the own failure domain's
// upstreams are crowded it leaves them out, and a receiver refuses.
func (n *Node) decide(s *routing.Snapshot, r *routing.Request, now time.Time) (routing.Decision, error) {
	slots, own, others := targetWork(s, r.Target)
	if !crowded(slots, own, others, len(n.group.View().Own)) {
		return n.router.Decide(s, r, now), nil
	}
	elsewhere := *r
	elsewhere.ExcludedUpstreams = ownUpstreams(s)
	d := n.router.Decide(s, &elsewhere, now)
	if d.Action != routing.ActionRefuse {
		return d, nil
	}
	return d, errkind.New(errkind.Overloaded, "%d requests of this node and %d of others at %d slots for %s %q, and no other place is free",
		own, others, slots, r.Target.Kind, r.Target.Name)
}

// ownUpstreams returns the upstreams of the own failure domain.
func ownUpstreams(s *routing.Snapshot) []domain.UpstreamID {
	ids := make([]domain.UpstreamID, s.Upstreams())
	for i := range ids {
		ids[i] = s.Upstream(int32(i)).Ref.ID
	}
	return ids
}

// targetWork sums up a target's slots and the work of this node and of the
// others at the own failure domain's upstreams.
func targetWork(s *routing.Snapshot, target domain.Target) (slots, own, others int) {
	for i := range int32(s.Upstreams()) {
		u := s.Upstream(i)
		if u.State != domain.UpstreamLive || !slices.Contains(u.Targets, target) {
			continue
		}
		slots += u.Slots
		others += u.OthersInFlight
		if u.Own != nil {
			own += u.Own.InFlight()
		}
	}
	return slots, own, others
}

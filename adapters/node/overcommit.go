package node

import (
	"slices"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/routing"
)

// overcommit is how much work a failure domain's nodes together may have at a
// target's upstreams, relative to the slots.
const overcommit = 1.0

// checkOvercommit fails, with verdict "no", if the own failure domain's nodes have
// as much work at a target's upstreams as these can take.
func (n *Node) checkOvercommit(s *routing.Snapshot, target domain.Target) error {
	slots, own, others := targetWork(s, target)
	if !overcommitted(slots, own, others, len(n.group.View().Own)) {
		return nil
	}
	return errkind.New(errkind.Overloaded, "%d requests of this node and %d of others at %d slots for %s %q", own, others, slots, target.Kind, target.Name)
}

// overcommitted tells if a node with own requests in flight should send no more
// to slots that it shares with others. Nodes know of each other's work with a
// delay: whatever others seem to have, each may use its even share.
func overcommitted(slots, own, others, nodes int) bool {
	if slots == 0 {
		return false
	}
	evenShare := float64(slots) / float64(max(1, nodes))
	return float64(own) >= overcommit*max(evenShare, float64(slots-others))
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

package node

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/routing"
)

const (
	// overloadFactor and overloadSlack define how many more requests than its share of
	// the slots a node may have in flight: they allow for a queue of about one request
	// for each slot, and for bursts where slots are few.
	overloadFactor = 2
	overloadSlack  = 2
)

// overloaded reports whether a node that has own requests in flight should send no
// more to slots that it shares with other nodes. Nodes learn each other's load with
// a delay, so each may always use its equal share, whatever load the others seem to
// have.
func overloaded(slots, own, others, nodes int) bool {
	if slots == 0 {
		return false
	}
	share := max(float64(slots)/float64(max(1, nodes)), float64(slots-others))
	return float64(own) >= overloadFactor*share+overloadSlack
}

// decide chooses a destination for the request. It excludes the upstreams of this
// node's failure domain if they are overloaded, so that a node that received the
// request from another one refuses it.
func (n *Node) decide(s *routing.Snapshot, r *routing.Request, now time.Time) (routing.Decision, error) {
	slots, own, others := targetWork(s, r.Target)
	if !overloaded(slots, own, others, len(n.group.View().LocalNodes)) {
		return n.router.Decide(s, r, now), nil
	}
	withoutOwn := *r
	withoutOwn.ExcludedUpstreams = ownUpstreams(s)
	d := n.router.Decide(s, &withoutOwn, now)
	if d.Action != routing.ActionRefuse {
		return d, nil
	}
	return d, errkind.New(errkind.Overloaded, "%d requests of this node and %d of others in flight at %d slots for %s %q, and no other destination has capacity",
		own, others, slots, r.Target.Kind, r.Target.Name)
}

// ownUpstreams returns the upstreams of this node's failure domain.
func ownUpstreams(s *routing.Snapshot) []domain.UpstreamID {
	ids := make([]domain.UpstreamID, s.UpstreamCount())
	for i := range ids {
		ids[i] = s.Upstream(int32(i)).Ref.ID
	}
	return ids
}

// targetWork returns the number of slots for a target at the upstreams of this
// node's failure domain, and the requests in flight there from this node and from
// others.
func targetWork(s *routing.Snapshot, target domain.Target) (slots, own, others int) {
	for i := range int32(s.UpstreamCount()) {
		u := s.Upstream(i)
		if u.State != domain.UpstreamLive || !slices.Contains(u.Targets, target) {
			continue
		}
		slots += u.Slots
		others += u.OthersInFlight
		if u.Work != nil {
			own += u.Work.InFlight()
		}
	}
	return slots, own, others
}

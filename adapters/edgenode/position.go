package edgenode

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/ports"
)

// syncPosition describes how far a node has replicated a part of the store: the position, a
// digest of the content, and when the store confirmed the position to this node, or to the
// node that this node received it from. The store's revision does not change while nothing
// is written, so only the time shows whether a node that relies on others still receives
// updates.
type syncPosition struct {
	at        ports.StorePosition
	digest    uint64
	confirmed time.Time
}

// advance records that the store confirmed a position at a time; it ignores an earlier
// position.
func (s *syncPosition) advance(at ports.StorePosition, confirmed time.Time) {
	if at.Compare(s.at) < 0 {
		return
	}
	s.at = at
	if confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
}

// behind reports whether another node has different content of a later position.
func (s *syncPosition) behind(p mesh.Position) bool {
	return p.Compare(s.at) > 0 && p.Digest != s.digest
}

// position returns the position as sent to other nodes; it is zero if the node has none yet.
func (s *syncPosition) position(now time.Time) mesh.Position {
	if s.at.IsZero() {
		return mesh.Position{}
	}
	return mesh.Position{StorePosition: s.at, Digest: s.digest, Age: now.Sub(s.confirmed)}
}

// entryHash returns a hash over the fields of an upstream's entry that affect
// routing; heartbeats of the upstream don't change it.
func entryHash(in instances.Instance) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintln(h, in.ID, in.Service, in.Address, in.Place.FailureDomain, in.Leaving, in.Started, in.Software, in.ColdRemaining > 0) // writing to a hash never fails
	return h.Sum64()
}

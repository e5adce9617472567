package edgenode

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/instances"
)

// known is how far a node follows a part of the store: the revision as of which
// it knows the part, a digest of the content, and when the store confirmed the
// revision, to this node or to one that told it. The store's revision stands
// still while nothing is written, so that only the time tells if a node that
// follows others still hears of the store.
type known struct {
	revision  uint64
	digest    uint64
	confirmed time.Time
}

// reach notes that the store confirmed a revision at a time.
func (k *known) reach(revision uint64, confirmed time.Time) {
	if revision < k.revision {
		return
	}
	k.revision = revision
	if confirmed.After(k.confirmed) {
		k.confirmed = confirmed
	}
}

// behind tells if another node knows different content as of a later revision.
func (k *known) behind(p mesh.Position) bool {
	return p.Revision > k.revision && p.Digest != k.digest
}

// position returns what other nodes are told; it is empty if nothing is known.
func (k *known) position(now time.Time) mesh.Position {
	if k.revision == 0 {
		return mesh.Position{}
	}
	return mesh.Position{Revision: k.revision, Digest: k.digest, Age: now.Sub(k.confirmed)}
}

// entryHash stands for what matters of an upstream's entry; its heartbeats
// change nothing of it.
func entryHash(in instances.Instance) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintln(h, in.ID, in.Service, in.Address, in.Place.FailureDomain, in.Leaving, in.Started, in.ColdFor > 0) // a hash never fails to write
	return h.Sum64()
}

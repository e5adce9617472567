package edgenode

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
)

// known is how far a node follows a part of the store: the revision as of which
// it knows the part, a digest of the content, and when it last got further.
type known struct {
	revision uint64
	digest   uint64
	at       time.Time
}

// reach notes that the part is known as of a revision.
func (k *known) reach(now time.Time, revision uint64) {
	if revision > k.revision {
		k.revision, k.at = revision, now
	}
}

// behind tells if another node knows different content as of a later revision.
func (k *known) behind(revision, digest uint64) bool {
	return revision > k.revision && digest != k.digest
}

// entryHash stands for what matters of an upstream's entry; its heartbeats
// change nothing of it.
func entryHash(in instances.Instance) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintln(h, in.ID, in.Service, in.Address, in.Place.FailureDomain, in.Leaving, in.Started, in.ColdFor > 0) // a hash never fails to write
	return h.Sum64()
}

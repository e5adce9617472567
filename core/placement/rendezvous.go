package placement

import (
	"hash/fnv"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Score ranks an upstream for a key by rendezvous hashing: all nodes that know
// the same upstreams rank the same one highest, and a change of the set moves
// only the keys of the upstreams that changed.
func Score(key uint64, id domain.UpstreamID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never fails to write
	x := h.Sum64() ^ key*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

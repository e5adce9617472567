package placement

import (
	"hash/fnv"

	"github.com/crocusspread/crocusspread/core/domain"
)

// RendezvousWeight returns the rendezvous-hashing weight of an upstream for a key.
// All nodes with the same set of upstreams give the same one the highest weight, and
// a change of the set reassigns only the keys of the upstreams that changed.
func RendezvousWeight(key uint64, id domain.UpstreamID) uint64 {
	return WeightOfHash(key, HashID(id))
}

// HashID returns the hash of an ID for WeightOfHash.
func HashID(id domain.UpstreamID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never returns an error
	return h.Sum64()
}

// WeightOfHash returns the same weight for the hash of an ID.
func WeightOfHash(key, hash uint64) uint64 {
	x := hash ^ key*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

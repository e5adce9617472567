package routing

import "github.com/cespare/xxhash/v2"

// Multipliers of the SplitMix64 finalizer.
const (
	splitMixMultiplier1 = 0xbf58476d1ce4e5b9
	splitMixMultiplier2 = 0x94d049bb133111eb
)

// RendezvousWeight returns the rendezvous-hashing weight of key for item; the key with
// the highest weight owns the item.
func RendezvousWeight(item, key uint64) uint64 {
	x := item ^ key
	x = (x ^ x>>30) * splitMixMultiplier1
	x = (x ^ x>>27) * splitMixMultiplier2
	return x ^ x>>31
}

// HashKey returns the hash of a name for ChooseNode and Request.PrefixHash.
func HashKey(name string) uint64 { return xxhash.Sum64String(name) }

// NodeLoad is a candidate node for ChooseNode.
type NodeLoad struct {
	// Key is the HashKey of the node's id.
	Key uint64
	// InFlight is the number of requests that this node has in flight to it.
	InFlight int
}

// ChooseNode returns the index of the node that item is assigned to, by rendezvous
// hashing with bounded loads: the highest weight among the nodes whose load, the
// new request included, is at most the next integer above bound times the mean. It
// returns -1 if there are no nodes.
func ChooseNode(item uint64, nodes []NodeLoad, bound float64) int {
	total := 1
	for i := range nodes {
		total += nodes[i].InFlight
	}
	limit := int(bound*float64(total)/float64(max(len(nodes), 1))) + 1
	owner, maxWeight := -1, uint64(0)
	for i := range nodes {
		if weight := RendezvousWeight(item, nodes[i].Key); nodes[i].InFlight < limit && weight >= maxWeight {
			owner, maxWeight = i, weight
		}
	}
	return owner
}

package routing

import "github.com/cespare/xxhash/v2"

const (
	mixA = 0xbf58476d1ce4e5b9
	mixB = 0x94d049bb133111eb
)

// Rendezvous returns the rank of key for item; the highest rank owns the item.
func Rendezvous(item, key uint64) uint64 {
	x := item ^ key
	x = (x ^ x>>30) * mixA
	x = (x ^ x>>27) * mixB
	return x ^ x>>31
}

// HashKey returns the hash of a name for ChooseNode and Request.PrefixHash.
func HashKey(name string) uint64 { return xxhash.Sum64String(name) }

// NodeLoad is a node as a choice for ChooseNode.
type NodeLoad struct {
	// Key is HashKey of the node's id.
	Key uint64
	// InFlight counts this node's requests in flight to it.
	InFlight int
}

// ChooseNode returns the index of the node that item belongs to: the highest by
// rendezvous hashing among those whose load, with the new request, is at most
// bound times the mean, rounded up. It returns -1 if there are no nodes.
func ChooseNode(item uint64, nodes []NodeLoad, bound float64) int {
	total := 1
	for i := range nodes {
		total += nodes[i].InFlight
	}
	limit := int(bound*float64(total)/float64(max(len(nodes), 1))) + 1
	owner, best := -1, uint64(0)
	for i := range nodes {
		if h := Rendezvous(item, nodes[i].Key); nodes[i].InFlight < limit && h >= best {
			owner, best = i, h
		}
	}
	return owner
}

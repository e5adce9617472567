package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Rendezvous returns the n nodes that rank highest for key by rendezvous hashing, in
// order. Nodes with equal views get equal results, and the loss of a node reassigns
// only the keys of that node.
func Rendezvous(key string, nodes []domain.NodeRef, n int) []domain.NodeRef {
	type ranked struct {
		score uint64
		node  domain.NodeRef
	}
	all := make([]ranked, len(nodes))
	for i, node := range nodes {
		all[i] = ranked{score(key, node.ID), node}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.node.ID, b.node.ID)
	})
	chosen := make([]domain.NodeRef, 0, n)
	for _, r := range all[:min(n, len(all))] {
		chosen = append(chosen, r.node)
	}
	return chosen
}

// RanksAmongTop reports whether id is among the n nodes that rank highest for key.
func RanksAmongTop(key string, id domain.NodeID, nodes []domain.NodeRef, n int) bool {
	own := score(key, id)
	higher := 0
	for _, node := range nodes {
		s := score(key, node.ID)
		if s > own || s == own && node.ID < id {
			higher++
		}
	}
	return higher < n
}

func score(key string, id domain.NodeID) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key)
	d.WriteString("\x00")
	d.WriteString(string(id))
	return d.Sum64()
}

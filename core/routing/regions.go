package routing

import (
	"slices"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	regionWords    = 4
	bitsPerWord    = 64
	maxRegions     = regionWords * bitsPerWord
	noRegion       = int32(-1)
	indexShift     = 6
	indexRemainder = bitsPerWord - 1
)

// RegionTable numbers regions. It is immutable.
type RegionTable struct {
	names []domain.Region
	index map[domain.Region]int32
}

func newRegionTable(names []domain.Region) *RegionTable {
	t := &RegionTable{names: names, index: make(map[domain.Region]int32, len(names))}
	for i, n := range names {
		t.index[n] = int32(i)
	}
	return t
}

// Index returns the number of r, or -1.
func (t *RegionTable) Index(r domain.Region) int32 {
	if i, ok := t.index[r]; ok {
		return i
	}
	return noRegion
}

func (t *RegionTable) equal(o *RegionTable) bool {
	return t == o || (t != nil && o != nil && slices.Equal(t.names, o.names))
}

// RegionSet is a set of regions of one RegionTable. The zero value is empty.
type RegionSet struct {
	table *RegionTable
	bits  [regionWords]uint64
}

// Set returns the set of the table's regions that allowed accepts.
func (t *RegionTable) Set(allowed func(domain.Region) bool) RegionSet {
	s := RegionSet{table: t}
	for i, n := range t.names {
		if allowed(n) {
			s.bits[i>>indexShift] |= 1 << (uint(i) & indexRemainder)
		}
	}
	return s
}

func (s *RegionSet) has(i int32) bool {
	if i < 0 || i >= maxRegions {
		return false
	}
	return s.bits[i>>indexShift]&(1<<(uint(i)&indexRemainder)) != 0
}

// Has tells if r is in the set.
func (s RegionSet) Has(r domain.Region) bool {
	return s.table != nil && s.has(s.table.Index(r))
}

package routing

import (
	"slices"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	regionWords = 4
	bitsPerWord = 64
	maxRegions  = regionWords * bitsPerWord
	noRegion    = int32(-1)
	wordShift   = 6
	bitMask     = bitsPerWord - 1
)

// RegionTable assigns an index to each region. It is immutable.
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

// Index returns the index of r, or -1 if the table does not contain it.
func (t *RegionTable) Index(r domain.Region) int32 {
	if i, ok := t.index[r]; ok {
		return i
	}
	return noRegion
}

func (t *RegionTable) equal(o *RegionTable) bool {
	return t == o || (t != nil && o != nil && slices.Equal(t.names, o.names))
}

// RegionSet is a set of regions of one RegionTable, as a bit set. The zero value
// is empty.
type RegionSet struct {
	table *RegionTable
	bits  [regionWords]uint64
}

// Set returns the set of the table's regions for which allowed returns true.
func (t *RegionTable) Set(allowed func(domain.Region) bool) RegionSet {
	s := RegionSet{table: t}
	for i, n := range t.names {
		if allowed(n) {
			s.bits[i>>wordShift] |= 1 << (uint(i) & bitMask)
		}
	}
	return s
}

func (s *RegionSet) has(i int32) bool {
	if i < 0 || i >= maxRegions {
		return false
	}
	return s.bits[i>>wordShift]&(1<<(uint(i)&bitMask)) != 0
}

// Has reports whether r is in the set.
func (s RegionSet) Has(r domain.Region) bool {
	return s.table != nil && s.has(s.table.Index(r))
}

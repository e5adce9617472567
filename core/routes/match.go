package routes

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// index builds the lookup table for Match: the routes of each host, longest prefix
// first.
func (t *Table) index() {
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
}

// Match returns the route of the host with the longest matching path prefix, or nil
// if none matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// ByName returns the route with the given name, or nil if there is none.
func (t *Table) ByName(name string) *Route {
	for i := range t.Routes {
		if t.Routes[i].Name == name {
			return &t.Routes[i]
		}
	}
	return nil
}

// HostRegions returns the regions that most of the restricted routes of a host allow,
// sorted: those that all of them allow, if there are any. It returns nil if no route
// restricts its regions.
func (t *Table) HostRegions(host string) []domain.Region {
	allowedBy := make(map[domain.Region]int)
	most := 0
	for _, r := range t.byHost[strings.ToLower(host)] {
		for _, region := range r.Regions {
			allowedBy[region]++
			most = max(most, allowedBy[region])
		}
	}
	var regions []domain.Region
	for region, n := range allowedBy {
		if n == most {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}

// MinEventGaps returns the minimum of MaxEventGap over the routes of each service
// with streams.
func (t *Table) MinEventGaps() map[string]time.Duration {
	minGaps := make(map[string]time.Duration)
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.MaxEventGap <= 0 {
			continue
		}
		for _, s := range r.Split {
			if known, ok := minGaps[s.Service]; !ok || r.MaxEventGap < known {
				minGaps[s.Service] = r.MaxEventGap
			}
		}
	}
	return minGaps
}

// ServiceFor chooses the service for a request according to the route's weights.
// For one table, the same request id always maps to the same service.
func (r *Route) ServiceFor(id domain.RequestID) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := uint64(0)
	for _, s := range r.Split {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never returns an error
	position := mix(h.Sum64()) % total
	for _, s := range r.Split {
		if position < uint64(s.Weight) {
			return s.Service
		}
		position -= uint64(s.Weight)
	}
	return ""
}

// mix distributes the entropy of h over all its bits (finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

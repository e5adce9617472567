package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// View is an immutable snapshot of the fleet as seen by one node.
type View struct {
	// At is the time at which the view was built.
	At time.Time
	// Self is the local node.
	Self domain.NodeRef
	// LocalNodes lists the live nodes of the local failure domain, including Self,
	// sorted by ID.
	LocalNodes []domain.NodeRef
	// HasVMList is set once a VM list was received.
	HasVMList bool
	// PeerIDs lists the IDs of all peers of the local domain, live or not, sorted.
	PeerIDs []domain.NodeID
	// OtherDomains lists the other failure domains, sorted by name.
	OtherDomains []Domain
	// PeerWork is the total load that peers reported per upstream of the local domain.
	// It must not be modified.
	PeerWork map[domain.UpstreamID]PeerWork
	// Demands are the newest known demands of nodes and failure domains.
	Demands []LimitDemand
}

// Domain is another failure domain.
type Domain struct {
	Place domain.Place
	// Nodes is a bounded sample of nodes to which requests can be forwarded, best
	// first.
	Nodes []domain.NodeRef
	// LiveNodes is the number of live nodes that the domain reports.
	LiveNodes int
	// Targets holds the newest known load of each target, sorted by kind and name.
	Targets []TargetLoad
	// ReportedAt is the time of the newest report by a node of the domain; zero if
	// there is none.
	ReportedAt time.Time
	// RTT is the estimated round-trip time; zero if unknown.
	RTT time.Duration
	// Reachable is false if the newest report is too old.
	Reachable bool
}

// PeerWork is the load of the domain's other nodes on one upstream.
type PeerWork struct {
	InFlight      uint32
	PendingTokens uint64
	// Leaving is set if any peer reported that the upstream is leaving.
	Leaving bool
	// SuspectedBy is the number of peers that suspect the upstream.
	SuspectedBy int
}

// Age returns the age of the domain's newest report.
func (d *Domain) Age(now time.Time) time.Duration { return now.Sub(d.ReportedAt) }

// Domain returns the other failure domain with the given name.
func (v *View) Domain(fd domain.FailureDomain) (*Domain, bool) {
	i, ok := slices.BinarySearchFunc(v.OtherDomains, fd, func(d Domain, fd domain.FailureDomain) int {
		return cmp.Compare(d.Place.FailureDomain, fd)
	})
	if !ok {
		return nil, false
	}
	return &v.OtherDomains[i], true
}

// Load returns the domain's reported load of a target.
func (d *Domain) Load(target domain.Target) (TargetLoad, bool) {
	i, ok := slices.BinarySearchFunc(d.Targets, target, func(l TargetLoad, t domain.Target) int {
		return compareTargets(l.Target, t)
	})
	if !ok {
		return TargetLoad{}, false
	}
	return d.Targets[i], true
}

// Entry is an entry node and its address for callers.
type Entry struct {
	Node    domain.NodeID `json:"node"`
	Place   domain.Place  `json:"place"`
	Address string        `json:"address"` // caller address, host:port
}

const (
	// maxEntries limits the entries in an entry list.
	maxEntries = 16
	// maxEntriesPerDomain limits the entries of another domain.
	maxEntriesPerDomain = 2
)

// Entries returns the entries for callers, best first: those of the local failure
// domain, then those of the other reachable domains by round-trip time. Only serving
// nodes are included. The list starts with the local node, so that callers of different
// nodes start at different entries of the domain.
func Entries(v *View) []Entry {
	list := appendEntries(nil, servingNodes(v.LocalNodes, v.Self.ID), maxEntries)
	others := slices.Clone(v.OtherDomains)
	slices.SortStableFunc(others, func(a, b Domain) int { return compareDistance(v.Self.Place, a, b) })
	for _, d := range others {
		if d.Reachable {
			list = appendEntries(list, servingNodes(d.Nodes, ""), maxEntriesPerDomain)
		}
	}
	return list
}

func appendEntries(list []Entry, nodes []domain.NodeRef, limit int) []Entry {
	for _, n := range nodes[:min(limit, len(nodes))] {
		if len(list) == maxEntries {
			break
		}
		list = append(list, Entry{Node: n.ID, Place: n.Place, Address: n.CallerAddress})
	}
	return list
}

// servingNodes returns the serving nodes, rotated to start at first if it is present.
func servingNodes(nodes []domain.NodeRef, first domain.NodeID) []domain.NodeRef {
	start := max(0, slices.IndexFunc(nodes, func(n domain.NodeRef) bool { return n.ID == first }))
	serving := make([]domain.NodeRef, 0, len(nodes))
	for i := range nodes {
		n := nodes[(start+i)%len(nodes)]
		if n.State == domain.NodeServing && n.CallerAddress != "" {
			serving = append(serving, n)
		}
	}
	return serving
}

// draining returns the draining nodes, which other domains must stop using.
func draining(nodes []domain.NodeRef) []domain.NodeRef {
	var selected []domain.NodeRef
	for _, n := range nodes {
		if n.State == domain.NodeDraining {
			selected = append(selected, n)
		}
	}
	return selected
}

// compareDistance orders domains by round-trip time. Domains with an unknown round-trip
// time are last, and ties are resolved in favor of the local region.
func compareDistance(self domain.Place, a, b Domain) int {
	if (a.RTT == 0) != (b.RTT == 0) {
		return cmp.Compare(b.RTT, a.RTT)
	}
	if c := cmp.Compare(a.RTT, b.RTT); c != 0 {
		return c
	}
	regionRank := func(d Domain) int {
		if d.Place.Region == self.Region {
			return 0
		}
		return 1
	}
	return cmp.Compare(regionRank(a), regionRank(b))
}

package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// View is an immutable picture of the fleet as one node sees it.
type View struct {
	// At is when the view was built.
	At time.Time
	// Self is the node itself.
	Self domain.NodeRef
	// Own lists the live nodes of the own failure domain with Self, by id.
	Own []domain.NodeRef
	// Listed is set once a VM list was taken.
	Listed bool
	// Known names all peers of the own domain, live or not, by id.
	Known []domain.NodeID
	// Others lists the other failure domains, by name.
	Others []Domain
	// PeerWork sums, per upstream of the own domain, what peers said of their
	// own work there. Do not change it.
	PeerWork map[domain.UpstreamID]PeerWork
	// Demands are the newest demands of the own domain's nodes.
	Demands []LimitDemand
}

// Domain is another failure domain.
type Domain struct {
	Place domain.Place
	// Nodes is a bounded sample of nodes to forward to, best first.
	Nodes []domain.NodeRef
	// LiveNodes counts the domain's live nodes, by its own account.
	LiveNodes int
	// Targets holds the newest known reading of each target, by kind and name.
	Targets []TargetLoad
	// Heard is when a node of the domain itself last spoke; zero if never.
	Heard time.Time
	// RTT is the round trip time estimate; zero if unknown.
	RTT time.Duration
	// Reachable is false once the newest reading is too old.
	Reachable bool
}

// PeerWork is the work of the other nodes of the domain at one upstream.
type PeerWork struct {
	InFlight      uint32
	PendingTokens uint64
	// Leaving is set if any peer was told that the upstream leaves.
	Leaving bool
	// SuspectedBy counts the peers that suspect the upstream.
	SuspectedBy int
}

// Age returns the age of the domain's newest reading.
func (d *Domain) Age(now time.Time) time.Duration { return now.Sub(d.Heard) }

// Domain returns the other failure domain of that name.
func (v *View) Domain(fd domain.FailureDomain) (*Domain, bool) {
	i, ok := slices.BinarySearchFunc(v.Others, fd, func(d Domain, fd domain.FailureDomain) int {
		return cmp.Compare(d.Place.FailureDomain, fd)
	})
	if !ok {
		return nil, false
	}
	return &v.Others[i], true
}

// Load returns the domain's reading of a target.
func (d *Domain) Load(target domain.Target) (TargetLoad, bool) {
	i, ok := slices.BinarySearchFunc(d.Targets, target, func(l TargetLoad, t domain.Target) int {
		return compareTargets(l.Target, t)
	})
	if !ok {
		return TargetLoad{}, false
	}
	return d.Targets[i], true
}

// Entry is an address for callers.
type Entry struct {
	Node    domain.NodeID `json:"node"`
	Place   domain.Place  `json:"place"`
	Address string        `json:"address"` // caller address, host:port
}

const (
	// maxEntries bounds an entry list.
	maxEntries = 16
	// maxEntriesPerDomain bounds the entries of another domain.
	maxEntriesPerDomain = 2
)

// Entries lists entries for callers, best first: the own failure domain, then
// the reachable others by round trip time. Only serving nodes are listed.
// Callers of different nodes begin at different entries of the own domain.
func Entries(v *View) []Entry {
	list := appendEntries(nil, servingFrom(v.Own, v.Self.ID), maxEntries)
	others := slices.Clone(v.Others)
	slices.SortStableFunc(others, func(a, b Domain) int { return compareDistance(v.Self.Place, a, b) })
	for _, d := range others {
		if d.Reachable {
			list = appendEntries(list, servingFrom(d.Nodes, ""), maxEntriesPerDomain)
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

// servingFrom returns the serving nodes, beginning at first if it is there.
func servingFrom(nodes []domain.NodeRef, first domain.NodeID) []domain.NodeRef {
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

// draining returns the nodes that other domains must stop using.
func draining(nodes []domain.NodeRef) []domain.NodeRef {
	var leaving []domain.NodeRef
	for _, n := range nodes {
		if n.State == domain.NodeDraining {
			leaving = append(leaving, n)
		}
	}
	return leaving
}

// compareDistance orders by round trip time; unknown ones go last, those of
// the own region before others.
func compareDistance(self domain.Place, a, b Domain) int {
	if (a.RTT == 0) != (b.RTT == 0) {
		return cmp.Compare(b.RTT, a.RTT)
	}
	if c := cmp.Compare(a.RTT, b.RTT); c != 0 {
		return c
	}
	near := func(d Domain) int {
		if d.Place.Region == self.Region {
			return 0
		}
		return 1
	}
	return cmp.Compare(near(a), near(b))
}

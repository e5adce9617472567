package edgenode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/peers"
)

const (
	// remoteInterval is the time between two exchanges of a reader with each other
	// region; the other nodes of its region receive the loads from the readers.
	remoteInterval = 400 * time.Millisecond
	// remoteIdleInterval is the time between two exchanges of any other node with
	// some other region. They keep its connections open to the nodes that it sends
	// requests to, and detect when one of these becomes unreachable.
	remoteIdleInterval = 1200 * time.Millisecond
	// maxRegionLoadAge is the age of a region's load above which a node that is not a
	// reader contacts the region itself: the interval of a reader, plus time for a
	// few rounds of exchanges.
	maxRegionLoadAge = 1500 * time.Millisecond
	// remotePollInterval is how often a starting node checks whether it has
	// discovered a node of another region.
	remotePollInterval = 30 * time.Millisecond
	// firstContactFanout is the number of nodes of a region that are contacted at a
	// time until its load is known: some may be down.
	firstContactFanout = 3
	// exploreEvery is the interval, in rounds of exchanges with a region, at which one
	// is made with a random node of it, so that a node that was unreachable is found
	// again.
	exploreEvery = 8
)

// runRemoteExchanges makes exchanges with nodes of other regions until ctx ends.
func (n *Node) runRemoteExchanges(ctx context.Context) {
	round := rand.IntN(1 << 16) // so that nodes started together begin with different regions
	n.awaitRemoteNode(ctx)
	for ctx.Err() == nil {
		regions := n.otherRegions()
		contacted := 0
		for _, region := range regions {
			if n.shouldPollRegion(region) {
				n.exchangeWithRegion(ctx, region, round)
				contacted++
			}
		}
		round++
		if contacted == 0 && len(regions) > 0 {
			n.exchangeWithRegion(ctx, regions[round%len(regions)], round/len(regions))
			sleep(ctx, jitter(remoteIdleInterval))
			continue
		}
		sleep(ctx, jitter(remoteInterval))
	}
}

// awaitRemoteNode waits until a node of another region is known. Until an exchange
// with it, requests that may not run in this region cannot be placed.
func (n *Node) awaitRemoteNode(ctx context.Context) {
	for ctx.Err() == nil {
		for _, region := range n.otherRegions() {
			if len(n.possiblyRunning(region)) > 0 {
				return
			}
		}
		sleep(ctx, remotePollInterval)
	}
}

// shouldPollRegion reports whether this node has to obtain a region's load itself.
func (n *Node) shouldPollRegion(region domain.Region) bool {
	age := n.regions.Age(time.Now(), region)
	return n.isReader() || age < 0 || age > maxRegionLoadAge
}

// otherRegions returns the other regions of the fleet, in a fixed order.
func (n *Node) otherRegions() []domain.Region {
	var list []domain.Region
	for _, region := range n.settings.regions() {
		if region != n.settings.Place.Region {
			list = append(list, region)
		}
	}
	return list
}

// exchangeWithRegion makes an exchange with one of the nodes of a region that this
// node prefers for requests, in turn, or with any node that may be running.
func (n *Node) exchangeWithRegion(ctx context.Context, region domain.Region, round int) {
	candidates := n.members.Preferred(time.Now(), region)
	if len(candidates) == 0 || round%exploreEvery == 0 {
		candidates = n.possiblyRunning(region)
	}
	count := min(1, len(candidates))
	if n.regions.Age(time.Now(), region) < 0 {
		count = min(firstContactFanout, len(candidates))
	}
	for i := range count {
		go n.exchange(ctx, candidates[(round+i)%len(candidates)])
	}
}

// possiblyRunning returns the nodes of a region that have not shut down gracefully,
// in random order.
func (n *Node) possiblyRunning(region domain.Region) []peers.Member {
	var list []peers.Member
	for _, m := range n.members.Known() {
		if m.Place.Region == region && m.State != domain.NodeStopped {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

package edgenode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/peers"
)

const (
	// farPace is the time between the exchanges of a reader with each other
	// region; the others of its region hear of the loads from the readers.
	farPace = 400 * time.Millisecond
	// farIdlePace is the time between the exchanges of another node with any
	// other region. They keep its connections to the nodes that it sends
	// requests to, and show when one of these is gone.
	farIdlePace = 1200 * time.Millisecond
	// farStale is the age of a region's load from which a node asks for itself:
	// some rounds of exchanges after a reader's pace.
	farStale = 1500 * time.Millisecond
	// farCheck is how often a node that starts looks if it knows a node of
	// another region.
	farCheck = 30 * time.Millisecond
	// firstAsked is the number of nodes of a region that are asked as long as its
	// load was never heard: some may be down.
	firstAsked = 3
	// exploreEvery makes one exchange in so many go to any node of the region, so
	// that one that could not be reached is found again.
	exploreEvery = 8
)

// exchangeFar tells and asks nodes of other regions until ctx ends.
func (n *Node) exchangeFar(ctx context.Context) {
	turn := rand.IntN(1 << 16) // nodes that start together begin with different regions
	n.awaitFar(ctx)
	for ctx.Err() == nil {
		regions := n.otherRegions()
		asked := 0
		for _, region := range regions {
			if n.farDue(region) {
				n.askRegion(ctx, region, turn)
				asked++
			}
		}
		turn++
		if asked == 0 && len(regions) > 0 {
			n.askRegion(ctx, regions[turn%len(regions)], turn/len(regions))
			sleep(ctx, jitter(farIdlePace))
			continue
		}
		sleep(ctx, jitter(farPace))
	}
}

// awaitFar returns once a node of another region is known: until it was asked,
// requests that may not run here have no place.
func (n *Node) awaitFar(ctx context.Context) {
	for ctx.Err() == nil {
		for _, region := range n.otherRegions() {
			if len(n.maybeRunning(region)) > 0 {
				return
			}
		}
		sleep(ctx, farCheck)
	}
}

// farDue tells if this node asks for a region's load.
func (n *Node) farDue(region domain.Region) bool {
	age := n.regions.Age(time.Now(), region)
	return n.reader() || age < 0 || age > farStale
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

// askRegion exchanges words with one of the nodes of a region that this one
// sends requests to, in turn, or with any one that may run.
func (n *Node) askRegion(ctx context.Context, region domain.Region, turn int) {
	candidates := n.members.Preferred(time.Now(), region)
	if len(candidates) == 0 || turn%exploreEvery == 0 {
		candidates = n.maybeRunning(region)
	}
	asked := min(1, len(candidates))
	if n.regions.Age(time.Now(), region) < 0 {
		asked = min(firstAsked, len(candidates))
	}
	for i := range asked {
		go n.exchange(ctx, candidates[(turn+i)%len(candidates)])
	}
}

// maybeRunning returns nodes of a region that did not stop as planned, in any
// order.
func (n *Node) maybeRunning(region domain.Region) []peers.Member {
	var list []peers.Member
	for _, m := range n.members.Known() {
		if m.Place.Region == region && m.State != domain.NodeStopped {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

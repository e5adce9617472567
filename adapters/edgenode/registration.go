package edgenode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/adapters/names"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	// nodeLease is how long a node's entry outlives its process. Other nodes detect
	// the failure earlier, through exchanges.
	nodeLease = 9 * time.Second
	// renewInterval is the time between two renewals of the lease; it leaves time for
	// two more before the lease expires.
	renewInterval = 3 * time.Second
	// callTimeout limits the calls to the store that transfer little data.
	callTimeout = 2 * time.Second
)

// nodeEntry is a node's entry in the store.
type nodeEntry struct {
	ID            domain.NodeID        `json:"id"`
	Region        domain.Region        `json:"region"`
	FailureDomain domain.FailureDomain `json:"failure_domain"`
	EntryAddress  string               `json:"entry_address"`
	PeerAddress   string               `json:"peer_address"`
	Incarnation   domain.Incarnation   `json:"incarnation"`
	CapacityMilli int                  `json:"capacity_milli"`
}

// nodeKey returns the key of this node's entry.
func (n *Node) nodeKey() string { return n.deps.Documents.NodePrefix() + string(n.settings.Node) }

// register maintains the node's entry in the store under a lease until ctx ends or
// the node drains.
func (n *Node) register(ctx context.Context) {
	var lease ports.Lease
	for ctx.Err() == nil {
		if n.closing.Load() {
			return
		}
		if lease.ID == 0 {
			lease = n.writeNodeEntry(ctx)
		} else if err := n.renew(ctx, lease); errors.Is(err, errkind.Of(errkind.NotFound)) {
			n.log.Log(event.RegistrationLost, event.F("node", n.settings.Node), event.F("lease", uint64(lease.ID)))
			lease = ports.Lease{}
			continue
		}
		if lease.ID == 0 {
			sleep(ctx, retryDelay)
		} else {
			n.awaitRenewal(ctx)
		}
	}
}

// reregisterPeriod is the time over which the nodes write their entries again after the
// store has gone back, so that they stay within its limit of calls.
const reregisterPeriod = time.Second

// awaitRenewal waits until the lease is to be renewed: after the interval, or when the store
// has gone back, as the lease may be gone.
func (n *Node) awaitRenewal(ctx context.Context) {
	timer := time.NewTimer(jitter(renewInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.era.risen:
		sleep(ctx, rand.N(reregisterPeriod))
	}
}

// writeNodeEntry writes the node's entry under a new lease. It returns a zero lease if that
// failed.
func (n *Node) writeNodeEntry(ctx context.Context) ports.Lease {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := n.deps.Store.GrantLease(ctx, max(nodeLease, n.settings.MinLease))
	n.health.recordOutcome(ctx, "grant lease", err)
	if err != nil {
		return ports.Lease{}
	}
	self := n.members.Self()
	text, err := json.Marshal(nodeEntry{
		ID: self.ID, Region: self.Place.Region, FailureDomain: self.Place.FailureDomain, EntryAddress: self.EntryAddress,
		PeerAddress: self.PeerAddress, Incarnation: self.Incarnation, CapacityMilli: int(self.Capacity * 1000),
	})
	var present ports.Item
	if err == nil {
		present, err = n.deps.Store.Get(ctx, n.nodeKey())
	}
	var revision uint64
	if err == nil {
		revision, err = n.deps.Store.Put(ctx, n.nodeKey(), text, lease, present.Revision)
	}
	if errors.Is(err, errkind.Of(errkind.Conflict)) || errors.Is(err, errkind.Of(errkind.NotFound)) {
		return ports.Lease{} // the entry or the lease has changed meanwhile
	}
	n.health.recordOutcome(ctx, "register", err)
	if err != nil {
		return ports.Lease{}
	}
	n.entryRevision.Store(revision)
	n.log.Log(event.Registered, event.F("node", n.settings.Node), event.F("lease", uint64(lease.ID)))
	return lease
}

// renew renews the lease; only an error of kind NotFound means that it is lost.
func (n *Node) renew(ctx context.Context, lease ports.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := n.deps.Store.KeepAlive(ctx, lease)
	if errors.Is(err, errkind.Of(errkind.NotFound)) {
		return err
	}
	n.health.recordOutcome(ctx, "renew lease", err)
	return err
}

// replaceNodes applies all entries of nodes.
func (n *Node) replaceNodes(now time.Time, items []ports.Item) {
	n.applyNodes(now, items)
	n.knowsNodes.Store(true)
}

// applyNodes applies changed entries of nodes. It ignores removed entries, because
// exchanges detect a stopped node earlier.
func (n *Node) applyNodes(now time.Time, items []ports.Item) {
	var list []peers.Member
	for _, i := range items {
		if i.Removed {
			continue
		}
		var e nodeEntry
		err := json.Unmarshal(i.Value, &e)
		if err == nil {
			err = n.checkNodeEntry(i.Key, &e)
		}
		if err != nil {
			n.log.Log(event.InstanceRefused, event.F("key", i.Key), event.F("error", err))
			continue
		}
		list = append(list, peers.Member{
			ID: e.ID, Place: domain.Place{Region: e.Region, FailureDomain: e.FailureDomain},
			EntryAddress: e.EntryAddress, PeerAddress: e.PeerAddress, Incarnation: e.Incarnation,
			State: domain.NodeStarting, Capacity: float64(e.CapacityMilli) / 1000,
		})
	}
	n.members.MergeRegistered(now, list)
}

// maxCapacityMilli is the largest capacity that the entry of a node may state.
const maxCapacityMilli = 1 << 20

// checkNodeEntry returns an error unless a node can have written the entry: another writer may have left
// one that would be handed out to callers.
func (n *Node) checkNodeEntry(key string, e *nodeEntry) error {
	if key != n.deps.Documents.NodePrefix()+string(e.ID) {
		return fmt.Errorf("the entry is that of node %q", e.ID)
	}
	if region, known := n.settings.RegionByFailureDomain[e.FailureDomain]; !known || region != e.Region {
		return fmt.Errorf("failure domain %q is not known in region %q", e.FailureDomain, e.Region)
	}
	if e.CapacityMilli < 0 || e.CapacityMilli > maxCapacityMilli {
		return fmt.Errorf("the capacity is %d thousandths", e.CapacityMilli)
	}
	return errors.Join(names.CheckName(string(e.ID)), names.CheckAddress(e.EntryAddress), names.CheckAddress(e.PeerAddress))
}

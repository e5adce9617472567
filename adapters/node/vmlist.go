package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	// vmRowsPerSecond limits the average number of rows that a node reads per second
	// in reads of the whole VM list.
	// minWholeVMListInterval is the minimum time between two such reads.
	vmRowsPerSecond        = 8
	minWholeVMListInterval = 4 * time.Second
)

// vmListLoop reads the platform's VM list: the rows of this node's failure domain at
// each interval, and all rows at an interval that grows with their number. A node
// that could not read it yet, because the platform is unavailable, fetches it from a
// peer.
func (n *Node) vmListLoop(ctx context.Context) {
	var wholeRead time.Time
	every(ctx, vmListInterval, func(now time.Time) {
		whole := now.Sub(wholeRead) >= wholeVMListInterval(n.vms.Load())
		if n.readVMs(ctx, whole) && whole {
			wholeRead = now
		}
	})
}

// wholeVMListInterval returns the time between two reads of all rows.
func wholeVMListInterval(vms *[]ports.VM) time.Duration {
	if vms == nil {
		return 0
	}
	return max(minWholeVMListInterval, time.Duration(len(*vms))*time.Second/vmRowsPerSecond)
}

// readVMs reads the rows of this node's failure domain, or all rows, and reports
// whether that succeeded.
func (n *Node) readVMs(ctx context.Context, whole bool) bool {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	wanted := n.self.Place.FailureDomain
	if whole {
		wanted = ""
	}
	vms, err := n.cfg.Platform.VMList.VMs(callCtx, wanted)
	n.sources.report(n.log, &n.sources.vms, "VM list", err)
	if err != nil {
		n.fetchPeerVMs(ctx)
		return false
	}
	n.vmsRespondedAt.Store(time.Now().UnixNano())
	if !whole {
		vms = n.withOtherDomains(vms)
	}
	n.setVMs(vms)
	return true
}

// withOtherDomains appends to the rows of this node's failure domain those of the
// others from the previous read.
func (n *Node) withOtherDomains(own []ports.VM) []ports.VM {
	known := n.vms.Load()
	if known == nil {
		return own
	}
	for _, vm := range *known {
		if vm.Place.FailureDomain != n.self.Place.FailureDomain {
			own = append(own, vm)
		}
	}
	return own
}

// setVMs applies a VM list.
func (n *Node) setVMs(vms []ports.VM) {
	now := time.Now()
	n.vms.Store(&vms)
	n.registry.setVMs(now, vms)
	n.group.SetVMs(now, vms)
	n.tracker.ObserveVMs(now, vms)
}

// fetchPeerVMs fetches the VM list from the first peer of this node's failure domain
// that has one, if this node has none.
func (n *Node) fetchPeerVMs(ctx context.Context) {
	if n.vms.Load() != nil {
		return
	}
	for _, peer := range n.group.View().LocalNodes {
		if peer.ID == n.self.ID {
			continue
		}
		vms, err := n.peers.FetchVMs(ctx, peer)
		if err == nil && len(vms) > 0 {
			n.setVMs(vms)
			return
		}
	}
}

// VMList implements peer.Control.
func (n *Node) VMList() []byte {
	vms := n.vms.Load()
	if vms == nil {
		return nil
	}
	encoded, err := json.Marshal(*vms)
	if err != nil {
		return nil
	}
	return encoded
}

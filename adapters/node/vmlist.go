package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	// vmRowsPerSecond bounds the rows of the whole VM list that a node reads a
	// second on average, and wholeVMListLeast is the shortest time between two
	// readings of it.
	vmRowsPerSecond  = 8
	wholeVMListLeast = 4 * time.Second
)

// vmListLoop reads the platform's VM list: the own failure domain's rows at each
// interval, all rows as seldom as their number asks for. A node that never read
// it, for the platform is away, takes the list of a peer.
func (n *Node) vmListLoop(ctx context.Context) {
	var wholeRead time.Time
	every(ctx, vmListInterval, func(now time.Time) {
		whole := now.Sub(wholeRead) >= wholeVMListInterval(n.vms.Load())
		if n.readVMs(ctx, whole) && whole {
			wholeRead = now
		}
	})
}

// wholeVMListInterval returns the time between two readings of all rows.
func wholeVMListInterval(vms *[]ports.VM) time.Duration {
	if vms == nil {
		return 0
	}
	return max(wholeVMListLeast, time.Duration(len(*vms))*time.Second/vmRowsPerSecond)
}

// readVMs reads the rows of the own failure domain, or all, and tells if that
// succeeded.
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
		n.takePeerVMs(ctx)
		return false
	}
	n.vmsAnswered.Store(time.Now().UnixNano())
	if !whole {
		vms = n.withOtherDomains(vms)
	}
	n.takeVMs(vms)
	return true
}

// withOtherDomains adds to the own failure domain's rows those of the others
// from the reading before.
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

func (n *Node) takeVMs(vms []ports.VM) {
	now := time.Now()
	n.vms.Store(&vms)
	n.registry.setVMs(now, vms)
	n.group.SetVMs(now, vms)
	n.tracker.ObserveVMs(now, vms)
}

// takePeerVMs asks the peers of the own failure domain until one has a VM list.
func (n *Node) takePeerVMs(ctx context.Context) {
	if n.vms.Load() != nil {
		return
	}
	for _, peer := range n.group.View().Own {
		if peer.ID == n.self.ID {
			continue
		}
		vms, err := n.peers.FetchVMs(ctx, peer)
		if err == nil && len(vms) > 0 {
			n.takeVMs(vms)
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

package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/crocusspread/crocusspread/core/ports"
)

// vmListLoop reads the platform's VM list. A node that never read it, for the
// platform is away, takes the list of a peer.
func (n *Node) vmListLoop(ctx context.Context) {
	every(ctx, vmListInterval, func(time.Time) { n.readVMs(ctx) })
}

func (n *Node) readVMs(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := n.cfg.Platform.VMList.VMs(callCtx, "")
	n.lost.report(n.log, &n.lost.vms, "VM list", err)
	if err != nil {
		n.takePeerVMs(ctx)
		return
	}
	n.vmsAnswered.Store(time.Now().UnixNano())
	n.takeVMs(vms)
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

package node

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// registryTTL is how long after its last heartbeat a node that is not in the VM list
// remains in the registry.
const registryTTL = 15 * time.Minute

// knownNode is a node as described by its latest heartbeat.
type knownNode struct {
	ref        domain.NodeRef
	version    domain.ListsVersion
	receivedAt time.Time
}

// registry finds nodes of all failure domains by ID, from heartbeats and from the
// latest VM list. It remains usable while the platform is unavailable.
type registry struct {
	mu          sync.RWMutex
	byVMList    map[domain.NodeID]domain.NodeRef
	byHeartbeat map[domain.NodeID]knownNode
}

func newRegistry() *registry {
	return &registry{byVMList: make(map[domain.NodeID]domain.NodeRef), byHeartbeat: make(map[domain.NodeID]knownNode)}
}

// Find implements gateway.Nodes.
func (r *registry) Find(id domain.NodeID) (domain.NodeRef, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if known, ok := r.byHeartbeat[id]; ok {
		return known.ref, true
	}
	ref, ok := r.byVMList[id]
	return ref, ok
}

// lastHeartbeat returns the contents of a node's latest heartbeat.
func (r *registry) lastHeartbeat(id domain.NodeID) (knownNode, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	known, ok := r.byHeartbeat[id]
	return known, ok
}

// setVMs replaces the nodes from the VM list and removes nodes whose last heartbeat
// is older than registryTTL.
func (r *registry) setVMs(now time.Time, vms []ports.VM) {
	listed := make(map[domain.NodeID]domain.NodeRef, len(vms))
	for _, vm := range vms {
		if vm.Role == ports.RoleEntry {
			id := domain.NodeID(vm.ID)
			listed[id] = domain.NodeRef{ID: id, Place: vm.Place, PeerAddress: vm.Address}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byVMList = listed
	for id, known := range r.byHeartbeat {
		if now.Sub(known.receivedAt) > registryTTL {
			delete(r.byHeartbeat, id)
		}
	}
}

// observe records a heartbeat received from a node directly.
func (r *registry) observe(now time.Time, ref domain.NodeRef, version domain.ListsVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byHeartbeat[ref.ID] = knownNode{ref: ref, version: version, receivedAt: now}
}

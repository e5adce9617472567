package node

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// registryTTL is how long a node that was heard of stays known when the VM list
// does not name it.
const registryTTL = 15 * time.Minute

// knownNode is a node and what its heartbeats said last.
type knownNode struct {
	ref     domain.NodeRef
	version domain.ListsVersion
	heard   time.Time
}

// registry finds nodes of all failure domains by name, from heartbeats and from
// the latest VM list. It goes on with both when the platform is away.
type registry struct {
	mu     sync.RWMutex
	listed map[domain.NodeID]domain.NodeRef
	heard  map[domain.NodeID]knownNode
}

func newRegistry() *registry {
	return &registry{listed: make(map[domain.NodeID]domain.NodeRef), heard: make(map[domain.NodeID]knownNode)}
}

// Find implements gateway.Nodes.
func (r *registry) Find(id domain.NodeID) (domain.NodeRef, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if known, ok := r.heard[id]; ok {
		return known.ref, true
	}
	ref, ok := r.listed[id]
	return ref, ok
}

// lastHeard returns what a node's own heartbeats said last.
func (r *registry) lastHeard(id domain.NodeID) (knownNode, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	known, ok := r.heard[id]
	return known, ok
}

// setVMs takes a reading of the VM list and forgets nodes that were heard of
// too long ago.
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
	r.listed = listed
	for id, known := range r.heard {
		if now.Sub(known.heard) > registryTTL {
			delete(r.heard, id)
		}
	}
}

// observe takes a heartbeat of a node itself.
func (r *registry) observe(now time.Time, ref domain.NodeRef, version domain.ListsVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[ref.ID] = knownNode{ref: ref, version: version, heard: now}
}

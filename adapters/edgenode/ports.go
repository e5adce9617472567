package edgenode

import (
	"github.com/crocusspread/crocusspread/adapters/edge"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routes"
)

// Documents reads what operators and upstreams keep in the store.
type Documents interface {
	// OperatorPrefix covers the routing table and the evacuations.
	OperatorPrefix() string
	// InstancePrefix covers the entries of upstreams.
	InstancePrefix() string
	// NodePrefix covers the entries of nodes.
	NodePrefix() string
	// IsTable tells if a key holds the routing table.
	IsTable(key string) bool
	// Evacuation returns the failure domain that a key puts under evacuation.
	Evacuation(key string) (domain.FailureDomain, bool)
	// Table decodes and checks a routing table.
	Table(value []byte) (*routes.Table, error)
	// Instance decodes and checks an upstream's entry.
	Instance(key string, value []byte) (instances.Instance, error)
}

// Outside is what a node reaches beside callers, upstreams and other nodes.
type Outside struct {
	Store     ports.Store
	Documents Documents
	Edge      edge.Dialect
	Upstream  upstream.Dialect
	// DropStoreConnections makes the next call to the store dial.
	DropStoreConnections func()
}

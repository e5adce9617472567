// Package edgenode assembles an entry node that routes by routing table. The node
// serves callers, readiness checks, directory lookups and other nodes, watches the
// store, and exchanges its state with other nodes.
package edgenode

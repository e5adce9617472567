// Package edgenode composes a node that routes by routing table: it listens for
// callers, readiness checks, directory questions and other nodes, follows the
// store, and exchanges its knowledge with other nodes.
package edgenode

// Package instances tracks the registered upstreams that a node may send requests
// to. It combines the entries in the platform's store with measurements from the
// node's own requests. Each service has a pool with its own lock. The current time
// is passed in by the caller.
//
// An entry that disappears while the calls of this node to the store fail is doubtful
// rather than removed: its lease may have expired because it could not be renewed. The
// instance remains usable until the store has been available again for
// Options.MissingGrace, or has confirmed the entries to some node for that long.
package instances

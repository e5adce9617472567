// Package instances tracks the registered upstreams that a node may send to:
// what the platform's store says of them, and what the node's own requests and
// their answers tell. Each service has a pool with its own lock. Times are
// passed in.
//
// An entry that vanished while the store was away is doubtful, not gone: its
// lease may have lapsed because nobody could renew it. It stays usable until the
// store has been back for Options.Doubt.
package instances

// Package quota limits what the requests of a client account use over all nodes together.
// One node, the authority, grants tokens from a bucket for each account. In each region one
// node, the holder, draws from it for the region's nodes, which keep a small balance each.
// Tokens lapse soon after they are granted, so that a grant never has to be revoked.
//
// Times are readings of the clock that also advances while the machine is suspended
// (CLOCK_BOOTTIME), as durations since an arbitrary origin. They are only compared with
// readings of the same node. All types are safe for concurrent use unless stated otherwise.
package quota

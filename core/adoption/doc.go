// Package adoption manages the operators' lists that are in effect on one node. It
// decides when to watch or read the key-value service and when to pull the lists from a
// peer.
//
// A Holder only accepts higher versions that are valid as a whole. A Follower derives
// actions from the time, the membership and the versions that peers announce; it has no
// clock, sockets or goroutines. An adapter executes the actions and reports their
// results.
package adoption

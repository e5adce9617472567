// Package adoption keeps the operators' lists in force at one node and decides
// when to watch or read the key-value service and when to pull from a peer.
//
// A Holder puts only higher versions in force, whole and validated. A Follower
// turns time, membership and the versions that peers announce into actions; it
// has no clock, sockets or goroutines. An adapter carries the actions out and
// hands back what came of them.
package adoption

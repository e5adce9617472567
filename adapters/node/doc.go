// Package node runs one entry node: it connects the core packages to the sockets,
// the platform, the upstreams and the other nodes, and runs the loops that keep
// their state up to date. All nodes of a fleet have the same role.
//
// The loops and what they update:
//
//	heartbeats  membership, lists versions, load and demand of other nodes
//	lists       the current lists, from the key-value service or a peer
//	VM list     members and upstreams from the platform's VM list, which lags
//	load        load reports, cache events and probes of upstreams
//	snapshot    the flat snapshot that routing decisions use
//	upkeep      expiry of operations and executions, metrics, shares of limits
//	directory   the node's record in the directory for callers
//	orders      orders to the engines of the failure domain
//
// A loop whose source fails continues with the state that it has.
package node

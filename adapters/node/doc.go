// Package node runs one entry node: it joins the core's decisions to the
// sockets, the platform, the upstreams and the other nodes, and runs the loops
// that keep them up to date. Every node of a fleet is alike.
//
// The loops and what they feed:
//
//	heartbeats  membership, lists versions, load and demand of other nodes
//	lists       the lists in force, from the key-value service or a peer
//	VM list     members and upstreams of the platform's lagging list
//	load        load reports, cache events and probes of upstreams
//	snapshot    the flat snapshot that routing decides from
//	upkeep      expiry of ledgers, the directory record, the life cycle
//
// Each loop goes on with what it has when its source fails.
package node

// Package upstreams tracks the upstreams of a node's failure domain and the
// aggregated load of the other failure domains. Its inputs are the platform's VM
// list, delayed load reports, the node's own dispatches and the heartbeats of other
// nodes. The state is divided into shards with a lock each and is the input of
// package routing.
package upstreams

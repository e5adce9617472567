// Package upstreams tracks the upstreams of a node's own failure domain and the
// aggregates of the other domains, from the platform's VM list, lagging load
// reports, own dispatches and what other nodes say. It keeps state in shards,
// each under its own lock, and feeds package routing.
package upstreams

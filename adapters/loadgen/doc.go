// Package loadgen is an open-loop load generator for nodes. Requests start at times
// that are drawn in advance and do not wait for earlier requests, so a slow
// deployment increases the latencies but does not reduce the load.
package loadgen

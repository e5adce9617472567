// Package routing chooses where one request runs: on an upstream of the node's
// own failure domain, in another failure domain, or nowhere. A decision reads an
// immutable Snapshot and a few atomic counters; it takes no lock and does not
// allocate. Every policy is a Filter, a Scorer or a Picker in a file of its own.
package routing

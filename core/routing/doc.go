// Package routing decides where a request runs: on an upstream of the node's
// failure domain, in a remote failure domain, or not at all. A decision reads an
// immutable Snapshot and a few atomic counters; it acquires no lock and does not
// allocate. Each Filter, Scorer and Picker is in a separate file.
package routing

// Package places allocates the places of a service with few upstreams as a single pool: one
// node of a region, the broker, grants permits to all others. The load that it responds to is
// many nodes that share few slots: each of them alone sees a fraction of one place, and late.
//
// The package does no I/O, starts no goroutines and reads no clock.
package places

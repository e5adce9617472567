// Package placement decides whether a request runs on an upstream of the local
// region, runs in another region, waits or is refused. A decision operates on copies
// of the candidates and acquires no lock, so it can be tested without a network.
package placement

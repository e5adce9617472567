// Package placement decides where a request runs: on an upstream of the local
// region, in another region, or not at the moment. A decision operates on copies
// of the candidates and acquires no lock, so it can be tested without a network.
package placement

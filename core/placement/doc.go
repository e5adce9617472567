// Package placement decides where a request runs: at an upstream of the own
// region, in another region, or nowhere for now. A decision reads candidates
// that were copied before and takes no lock, so that it can be tested without a
// network.
package placement

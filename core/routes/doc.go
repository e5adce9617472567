// Package routes holds the routing table that operators publish: which service
// a request goes to, what may be repeated, for how long it may wait and in which
// regions it may run. A table is immutable; a node replaces it as a whole by one
// of a higher version.
package routes

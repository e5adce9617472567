// Package routes defines the routing table that operators publish. It maps
// requests to services and specifies whether a request may run more than once, its
// timeout and the regions in which it may run. A table is immutable; a node
// replaces it as a whole with one of a higher version.
package routes

// Package mesh implements the gRPC protocol between the nodes of a fleet that routes
// by routing table: relayed requests to another region, and the exchanges that
// propagate membership and load. A node exchanges every 0.3 seconds with a node of its
// region and every 0.4 to 1.2 seconds with each other region, which also detects an
// unresponsive connection, so that it is replaced.
package mesh

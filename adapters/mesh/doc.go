// Package mesh implements the gRPC protocol between the nodes of a fleet that routes
// by routing table: relayed requests to another region, and the exchanges that
// propagate membership and load. Each connection carries an exchange every half
// second, so that an unresponsive one is detected and replaced.
package mesh

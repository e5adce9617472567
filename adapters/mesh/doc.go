// Package mesh implements the gRPC protocol between the nodes of a fleet that routes
// by routing table: relayed requests to another region, and the exchanges that
// propagate membership and load. The exchanges are also how an unresponsive
// connection is detected, which is then replaced.
package mesh

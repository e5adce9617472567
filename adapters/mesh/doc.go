// Package mesh connects the nodes of a fleet that routes by routing table, over
// gRPC: requests for another region, and the exchanges that spread membership
// and load. Connections carry an exchange every half second, so that one which
// fell silent is found and replaced.
package mesh

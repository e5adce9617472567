// Package relay carries one request from its arrival at a node to its answer:
// it looks for a place, sends the request there, judges what came back and
// decides if it may be sent again. The outside is behind the ports Upstreams,
// Nodes and Sink.
//
// What may be repeated follows from the route. A request that is not repeatable
// is sent again only if it is certain that the last attempt did not run it. A
// failure that reaches the caller states truthfully whether the request ran.
package relay

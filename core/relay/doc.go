// Package relay handles a request from its arrival at a node until its answer is
// delivered: it chooses an upstream or another region's node, sends the request,
// classifies the outcome and decides whether the request may be sent again. External
// systems are accessed through the ports Upstreams, Nodes and Sink.
//
// The route determines what may be repeated. A request that is not repeatable is sent
// again only if the last attempt certainly did not run it. A failure that is reported to
// the caller states correctly whether the request ran.
package relay

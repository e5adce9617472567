// Package peer carries requests, answers, heartbeats and lists between nodes
// over gRPC.
//
// Every answer is a sequence of numbered frames that name their request and end
// with an explicit end frame. A stream that stops without it is reported as
// peer_lost, and frames of another request or out of sequence are refused.
// While an upstream is busy the executor sends keep-alive frames, so the other
// end can tell a silent connection from a slow upstream: a connection that
// brings nothing for the silence bound is retired and never used again.
package peer

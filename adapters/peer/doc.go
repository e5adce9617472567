// Package peer transfers requests, answers, heartbeats and lists between nodes over
// gRPC.
//
// Every answer is a sequence of numbered frames that contain the ID of their request,
// terminated by an explicit end frame. A stream that stops without an end frame is
// reported as peer_lost, and frames of another request or out of sequence are rejected.
// While an upstream is busy, the executor sends keep-alive frames, so that the other end
// can distinguish a dead connection from a slow upstream. A connection on which no frame
// arrives within the silence timeout is retired and never reused.
package peer

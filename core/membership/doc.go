// Package membership tracks which nodes are live, in the local failure domain and in
// the others, and the load that the other failure domains report.
//
// Each round a node exchanges one heartbeat with the next peer of its own domain. It
// also exchanges heartbeats with nodes of the other domains that rendezvous hashing
// assigns to it. The cost therefore does not depend on the size of the domains. A
// heartbeat carries a bounded number of relayed items, changed items first. All
// decisions tolerate differing views: no safety property depends on agreement.
//
// The package has no clock, sockets or goroutines. An adapter calls StartRound
// once a round, sends the returned messages, and reports replies and failures.
package membership

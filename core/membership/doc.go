// Package membership tracks which nodes are live, in the node's own failure
// domain and in the others, and what load the other failure domains report.
//
// Each round a node exchanges one heartbeat with the next peer of its own
// domain and one with a node of another domain that rendezvous hashing assigned
// to it, so that its cost does not depend on the size of either. A heartbeat
// carries a bounded number of relayed items; items that changed go first. All
// choices tolerate differing views: nothing unsafe depends on agreement.
//
// The package has no clock, sockets or goroutines. An adapter calls Beat once a
// round, sends what it returns, and hands replies and failures back.
package membership

// Package peers holds what a node knows of the other nodes: who is alive, how
// loaded other regions are, and which entries callers should use. The knowledge
// spreads by exchanges between random pairs of nodes; nothing unsafe depends on
// nodes agreeing on it.
package peers

// Package peers holds a node's view of the other nodes: which nodes are alive, the
// load of other regions, and which entry nodes callers should use. The views are
// disseminated by gossip between random pairs of nodes. No safety property depends on
// nodes having the same view.
package peers

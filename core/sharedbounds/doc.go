// Package sharedbounds keeps bounds that hold over all nodes together without
// asking another node: each node keeps to its share, also when it is cut off.
package sharedbounds

// Package sharedbounds enforces limits on the whole fleet without communication between
// nodes: each node stays within its own share, even when it is partitioned from the others.
package sharedbounds

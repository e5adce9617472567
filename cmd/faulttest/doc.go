// Package faulttest contains fault-injection tests against real processes. They
// build both binaries, run a small deployment of platform, upstreams and nodes on
// loopback, and check invariants while processes are killed or frozen, network
// links are closed or drop all bytes, and the platform fails. docs/PROOF.md lists
// the faults that each test covers.
package faulttest

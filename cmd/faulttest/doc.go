// Package faulttest holds the proof against real processes: its tests build the
// two binaries, run a small deployment of platform, upstreams and nodes on
// loopback, and check what must always hold while processes are killed and
// frozen, links are cut or fall silent, and the platform fails. docs/PROOF.md
// lists what each test tries.
package faulttest

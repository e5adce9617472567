// Package currency decides whether a node may honour the keys of client accounts. With strict
// revocation it may do so only while it can prove that its copy of the routing table was current
// less than a bound ago. The package also decides when a node looks for a more recent proof, and
// where.
//
// Times are durations on a clock that goes on while the machine is suspended (CLOCK_BOOTTIME).
package currency

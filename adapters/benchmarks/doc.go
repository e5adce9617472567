// Package benchmarks measures a whole node in one process with stand-ins: the
// time that an entry adds, the tokens that one process relays and the memory
// of open streams. It also measures what nodes spend as processes of their own and
// the traffic of idle fleets. docs/MEASUREMENTS.md holds the figures.
package benchmarks

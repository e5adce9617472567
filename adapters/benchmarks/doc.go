// Package benchmarks measures complete nodes against simulated engines and a simulated
// platform: the latency that an entry node adds, the token throughput of one process
// and the memory of open streams. It also measures the processor time and memory of
// nodes that run as separate processes, and the traffic of idle fleets.
// docs/MEASUREMENTS.md contains the results.
package benchmarks

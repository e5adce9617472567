// Package contract contains one test suite per port. Each suite runs against every
// implementation: the in-memory stand-in and the adapter that calls it.
package contract

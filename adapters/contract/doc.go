// Package contract holds one test suite per port. Each runs against every
// implementation: the in-memory stand-in and the adapter that talks to it.
package contract

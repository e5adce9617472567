// Package storesim simulates the store of the users' platform. It serves the
// store's published HTTP protocol and injects the faults that the store may have.
// Tests, the soak test included, run nodes against it.
package storesim

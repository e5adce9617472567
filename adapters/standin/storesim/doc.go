// Package storesim stands in for the users' platform: its store over the
// published protocol, with the faults that the store may have. Tests, the soak
// and the demo run nodes against it.
package storesim

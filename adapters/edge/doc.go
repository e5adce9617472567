// Package edge takes requests from callers over HTTP, finds their route and
// hands them to package relay. It also answers the checks of a node's readiness
// and callers that ask which entries to use.
package edge

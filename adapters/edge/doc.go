// Package edge accepts requests from callers over HTTP, matches them to a route and
// passes them to package relay. It also serves readiness checks, and the directory
// from which callers look up entry nodes.
package edge

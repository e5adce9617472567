// Package callerapi implements the HTTP interface for callers: an OpenAI-compatible chat
// completions path with server-sent events, the models of the caller's plan, other
// services below /services/, operation IDs for non-repeatable calls, and the list of
// entry nodes to use.
//
// Every error is JSON with a stable kind, the request ID, whether the work ran ("no",
// "unknown" or "yes") and, where retrying can help, Retry-After.
package callerapi

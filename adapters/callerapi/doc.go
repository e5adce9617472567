// Package callerapi is the HTTP interface for callers: an OpenAI-compatible
// chat completions path with server-sent events, the models of the caller's
// plan, plain services below /services/, operation ids for non-repeatable
// calls, and the list of entries to use.
//
// Every error is JSON with a stable kind, the request id, whether the work ran
// ("no", "unknown" or "yes") and, where waiting helps, Retry-After.
package callerapi

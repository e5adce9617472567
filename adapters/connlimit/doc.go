// Package connlimit limits what clients can take of a process before they have sent a
// complete request, and how long they may leave a response unread. It wraps the listeners
// of a process and their connections. It parses nothing: net/http and gRPC report when a
// request is complete.
//
// One loop for the whole process enforces all times; a connection needs no goroutine and no
// timer of its own.
package connlimit

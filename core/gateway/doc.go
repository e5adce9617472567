// Package gateway carries a request from a caller to an upstream and its answer
// back.
//
// A request passes at most three stages, and each stage may only call the next:
//
//	Entry   -> upstream of the own failure domain, or Execute on another node
//	Join    -> at an operation's issuer only: as Entry, for that operation
//	Execute -> upstream of the own failure domain, nothing else
//
// A stage never calls itself or an earlier one, so no request can travel in a
// loop. The plan's region rule is checked when an entry chooses, and again by
// Execute against the receiver's own lists before anything is dispatched.
package gateway

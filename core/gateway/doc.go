// Package gateway routes requests from callers to upstreams and returns their answers.
//
// A request passes at most three stages, and each stage may only call the next:
//
//	Entry   -> upstream of the node's failure domain, or Execute on another node
//	Join    -> at an operation's issuer only: as Entry, for that operation
//	Execute -> upstream of the node's failure domain, nothing else
//
// A stage never calls itself or an earlier one, so requests cannot loop. The plan's
// region rule is checked when the entry node routes the request, and again by Execute
// against the receiver's own lists before anything is dispatched.
package gateway

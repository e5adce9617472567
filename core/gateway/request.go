package gateway

import (
	"io"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Request is a caller's request, independent of its transport.
type Request struct {
	ID domain.RequestID
	// BearerKey is the caller's key, without the authentication scheme.
	BearerKey string
	Target    domain.Target
	// Method, Path (relative to the service), Query and Header are set for services.
	Method string
	Path   string
	Query  string
	Header map[string][]string
	// Payload is the JSON body of a generation, or the buffered body of a service call.
	Payload []byte
	// Body is the streamed body of a service call; it can be read only once.
	Body io.Reader
	// Stream requests server-sent events.
	Stream bool
	// PromptTokens and OutputTokens are estimated from the payload.
	PromptTokens int
	OutputTokens int
	// Prefix is a hash of the start of the prompt, or zero if there is none.
	Prefix uint64
	// OperationID and IdempotencyKey identify a non-repeatable call.
	OperationID    domain.OperationID
	IdempotencyKey string
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time
	// FirstTokenDeadline is when the first token is due; zero if the caller did not specify
	// it.
	FirstTokenDeadline time.Time
	Traceparent        string
}

// ForwardedRequest is a request that is sent from one node to another.
type ForwardedRequest struct {
	RequestID    domain.RequestID
	Customer     domain.CustomerID
	Target       domain.Target
	Method       string
	Path         string
	Query        string
	Header       map[string][]string
	ListsVersion domain.ListsVersion
	// Sender is the sending node; Receiver is the process that the request is addressed
	// to.
	Sender   domain.NodeRef
	Receiver domain.NodeRef
	// OperationID, Fingerprint and Attempt are set for non-repeatable calls.
	OperationID domain.OperationID
	Fingerprint uint64
	Attempt     int
	// Timeout is how long the sender will still wait; zero for no limit.
	Timeout     time.Duration
	Traceparent string
	Stream      bool
	// ResumeAfter (a number of events) and Pinned resume a generation at the upstream
	// that holds it.
	ResumeAfter  uint64
	Pinned       domain.UpstreamID
	Repeatable   bool
	Priority     int
	PromptTokens int
	Prefix       uint64
	// Payload is the whole body if it is buffered; otherwise Body is streamed.
	Payload []byte
	Body    io.Reader
}

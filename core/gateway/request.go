package gateway

import (
	"io"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Request is a caller's request after its transport has been read.
type Request struct {
	ID domain.RequestID
	// BearerKey is the caller's key, without the scheme.
	BearerKey string
	Target    domain.Target
	// Method, Path (below the service), Query and Header are set for services.
	Method string
	Path   string
	Query  string
	Header map[string][]string
	// Payload is a generation's JSON, or a buffered service body.
	Payload []byte
	// Body is a service body that is streamed; it can be sent only once.
	Body io.Reader
	// Stream asks for server-sent events.
	Stream bool
	// PromptTokens and OutputTokens are estimates made from the payload.
	PromptTokens int
	OutputTokens int
	// Prefix is a hash of the prompt's start, zero if there is none.
	Prefix uint64
	// OperationID and IdempotencyKey name a non-repeatable call.
	OperationID    domain.OperationID
	IdempotencyKey string
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time
	// FirstTokenBy is when the first token is due; zero if the caller did not say.
	FirstTokenBy time.Time
	Traceparent  string
}

// Forward is a request on its way between two nodes.
type Forward struct {
	RequestID    domain.RequestID
	Customer     domain.CustomerID
	Target       domain.Target
	Method       string
	Path         string
	Query        string
	Header       map[string][]string
	ListsVersion domain.ListsVersion
	// Sender is the node that sends; Receiver is the process that is meant.
	Sender   domain.NodeRef
	Receiver domain.NodeRef
	// OperationID, Fingerprint and Attempt are set for non-repeatable calls.
	OperationID domain.OperationID
	Fingerprint uint64
	Attempt     int
	// Timeout is how long the sender still waits; zero for no bound.
	Timeout     time.Duration
	Traceparent string
	Stream      bool
	// ResumeAfter and Pinned continue a generation at the upstream that has it.
	ResumeAfter  uint64
	Pinned       domain.UpstreamID
	Repeatable   bool
	Priority     int
	PromptTokens int
	Prefix       uint64
	// Payload is the whole body when it is known; else Body is streamed.
	Payload []byte
	Body    io.Reader
}

package edge

import (
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/relay"
)

// Arrival is what a caller says about its request beside the message itself.
type Arrival struct {
	ID domain.RequestID
	// Patience is how long the caller waits; zero if it does not say.
	Patience time.Duration
	Prompt   relay.Prompt
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
}

// Place is a question of a caller that looks for entries.
type Place struct {
	Host          string
	Region        domain.Region
	FailureDomain domain.FailureDomain
}

// Dialect reads and writes what callers and the gateway tell each other beside
// the messages.
type Dialect interface {
	// Arrival reads a request's headers.
	Arrival(h http.Header) (Arrival, error)
	// Strip removes headers that only the gateway may set.
	Strip(h http.Header)
	// Refusal adds the advice when to come back.
	Refusal(h http.Header, retryAfter time.Duration)
	// ReadyPath is where the node's readiness is asked for.
	ReadyPath() string
	// DirectoryPath is where callers ask for entries.
	DirectoryPath() string
	// Place reads such a question.
	Place(r *http.Request) Place
	// Entries encodes the answer and returns its content type.
	Entries(addresses []string, ttl time.Duration) (body []byte, contentType string, err error)
}

package edge

import (
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/relay"
)

// Arrival holds what a caller states about its request in headers.
type Arrival struct {
	ID domain.RequestID
	// Patience is how long the caller waits for the response; zero if not stated.
	Patience time.Duration
	Prompt   relay.Prompt
	// ResumeAfter is the ID of the last stream event that the caller has received.
	ResumeAfter string
}

// Place is the query of a directory lookup.
type Place struct {
	Host          string
	Region        domain.Region
	FailureDomain domain.FailureDomain
}

// Dialect defines the platform-specific parts of the protocol between callers and
// the gateway: headers, paths and the directory response.
type Dialect interface {
	// Arrival parses the headers of a request.
	Arrival(h http.Header) (Arrival, error)
	// Strip removes headers that only the gateway may set.
	Strip(h http.Header)
	// Refusal sets the header that states when the caller may retry.
	Refusal(h http.Header, retryAfter time.Duration)
	// ReadyPath returns the URL path of readiness checks.
	ReadyPath() string
	// DirectoryPath returns the URL path of directory lookups.
	DirectoryPath() string
	// Place parses a directory lookup.
	Place(r *http.Request) Place
	// Entries encodes the directory response and returns it with its content type.
	Entries(addresses []string, ttl time.Duration) (body []byte, contentType string, err error)
}

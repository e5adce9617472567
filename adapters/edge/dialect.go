package edge

import (
	"net/http"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/relay"
)

// RequestInfo holds what a caller states about its request in headers.
type RequestInfo struct {
	ID domain.RequestID
	// Timeout is how long the caller waits for the response; zero if not stated.
	Timeout time.Duration
	Prompt  relay.Prompt
	// ResumeAfter is the ID of the last stream event that the caller has received.
	ResumeAfter string
	// Resumes is the ID of the request that began the stream.
	Resumes domain.RequestID
}

// DirectoryQuery is the query of a directory lookup.
type DirectoryQuery struct {
	Host          string
	Region        domain.Region
	FailureDomain domain.FailureDomain
}

// Dialect defines the platform-specific parts of the protocol between callers and
// the gateway: headers, paths and the directory response.
type Dialect interface {
	// ParseRequest parses the headers of a request.
	ParseRequest(h http.Header) (RequestInfo, error)
	// StripInternalHeaders removes headers that only the gateway may set.
	StripInternalHeaders(h http.Header)
	// AccountKey returns the key of a client account that a request carries; found is false if
	// it carries none.
	AccountKey(h http.Header) (key string, found bool)
	// StripAccountHeaders removes the headers that hold the key or the name of a client account.
	StripAccountHeaders(h http.Header)
	// SetRetryAfter sets the header that states when the caller may retry.
	SetRetryAfter(h http.Header, retryAfter time.Duration)
	// ReadyPath returns the URL path of readiness checks.
	ReadyPath() string
	// DirectoryPath returns the URL path of directory lookups.
	DirectoryPath() string
	// ParseDirectoryQuery parses a directory lookup.
	ParseDirectoryQuery(r *http.Request) DirectoryQuery
	// EncodeEntries encodes the directory response and returns it with its content type.
	EncodeEntries(addresses []string, ttl time.Duration) (body []byte, contentType string, err error)
}

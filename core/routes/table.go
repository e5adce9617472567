package routes

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Kind says what may be repeated on a route.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests may run once for each request of a caller.
	AtMostOnce Kind = "at_most_once"
	// Streaming answers are series of events; they run at most once unless the
	// route is resumable.
	Streaming Kind = "streaming"
)

// Share is one service of a split route and its weight among the others.
type Share struct {
	Service string
	Weight  uint32
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer, or its first event, has
	// its full worth to the caller.
	Objective time.Duration
	// MaxEventGap is the longest pause between two events of an answer that is
	// still on time; zero on routes without streams.
	MaxEventGap time.Duration
	// Priority ranks the route among those of its service; 0 is most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Shares has one entry, or several on a split route.
	Shares []Share
	// Regions that may process requests; empty allows all.
	Regions []domain.Region
}

// Repeatable tells if a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Allows tells if the route's requests may be processed in a region.
func (r *Route) Allows(region domain.Region) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Sends tells if the route sends requests to a service.
func (r *Route) Sends(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests an engine batches.
	Slots int
	// CacheTokens is the memory that running requests and cached prompt parts
	// share.
	CacheTokens int
	// EventTokens is the number of output tokens in one event of a stream.
	EventTokens int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one upstream from all nodes.
	MaxConnections int
	// ColdStart is how long an upstream stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the requests per second that a cold upstream bears; zero
	// means that cold upstreams need no care.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routing table.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
}

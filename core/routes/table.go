package routes

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Kind specifies whether the requests of a route may run more than once.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once.
	AtMostOnce Kind = "at_most_once"
	// Streaming requests are answered with a stream of events. They run at most
	// once unless the route is resumable.
	Streaming Kind = "streaming"
)

// WeightedService is a service of a route and its weight in the traffic split.
type WeightedService struct {
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
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for its first event
	// if it is a stream.
	Objective time.Duration
	// MaxEventGap is the maximum time between two events of a stream that meets the
	// objective; zero on routes without streams.
	MaxEventGap time.Duration
	// Priority is the priority among the routes of a service; 0 is most urgent.
	Priority int
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// Resumable is set if an interrupted stream may continue on another upstream.
	Resumable bool
	// Split are the services of the route; more than one splits the traffic.
	Split []WeightedService
	// Regions are the regions that may process requests; empty allows all.
	Regions []domain.Region
	// Public is set if requests need no key of a client account.
	Public bool

	// priorityRank is the rank of the priority among the distinct priorities of all routes,
	// of which there are priorityRanks. They are set in tables with accounts.
	priorityRank, priorityRanks int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Allows reports whether the route's requests may be processed in a region.
func (r *Route) Allows(region domain.Region) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// SendsTo reports whether the route sends requests to a service.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests that an engine runs in one batch.
	Slots int
	// CacheTokens is the capacity, in tokens, that running requests and cached
	// prompt parts share.
	CacheTokens int
	// TokensPerEvent is the number of output tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections from all nodes to one
	// upstream.
	MaxConnections int
	// ColdStart is the time for which an upstream is cold after its start.
	ColdStart time.Duration
	// MaxColdRate is the maximum request rate of a cold upstream, in requests per
	// second; zero means no limit.
	MaxColdRate float64
	// Engine is nil for services without model engines.
	Engine *Engine
}

// Limits are the limits on the requests of callers.
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

	byHost map[string][]*Route // longest prefix first
	// accounts and accountsByKey are empty if requests need no key.
	accounts      map[string]*Account // by name
	accountsByKey map[KeyHash]*Account
	// hasQuotas is set if any account has a quota.
	hasQuotas bool
}

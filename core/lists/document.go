// Package lists represents the operators' two lists as one versioned document: the
// plan of each customer, and the resources that each plan may use. A document is
// validated as a whole, compiled to an immutable Snapshot for request decisions, and
// adopted only if its version is higher than the current one.
package lists

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Key is the key of the current lists in the key-value service.
const Key = "crocusspread/lists/current"

// HistoryPrefix is the prefix of the keys of changes that were evicted from the
// embedded audit trail. It is followed by the version as 20 decimal digits.
const HistoryPrefix = "crocusspread/lists/history/"

// MaxDocumentBytes is the maximum size of an encoded document. The key-value service
// accepts values of up to one megabyte.
const MaxDocumentBytes = 1 << 20

// Document contains both lists.
type Document struct {
	// Customers is the first list: the plan of each customer.
	Customers []Customer `json:"customers" yaml:"customers"`
	// Regions declares every region that plans may refer to.
	Regions []domain.Region `json:"regions" yaml:"regions"`
	// Plans is the second list: the resources that each plan may use.
	Plans []Plan `json:"plans" yaml:"plans"`
	// Services describes the plain services and which of their routes are repeatable.
	Services []Service `json:"services" yaml:"services"`
}

// Customer is a row of the first list.
type Customer struct {
	ID   domain.CustomerID `json:"id" yaml:"id"`
	Plan domain.PlanID     `json:"plan" yaml:"plan"`
	// KeyHashes are SHA-256 hashes of the customer's bearer keys, in hex.
	KeyHashes []string `json:"key_hashes" yaml:"key_hashes"`
}

// Plan is a row of the second list.
type Plan struct {
	ID       domain.PlanID `json:"id" yaml:"id"`
	Models   []string      `json:"models" yaml:"models"`
	Services []string      `json:"services" yaml:"services"`
	// Regions are the regions where the plan's requests may be processed.
	Regions []domain.Region `json:"regions" yaml:"regions"`
	// Home is the preferred region; empty means the region nearest to the caller.
	Home domain.Region `json:"home,omitempty" yaml:"home,omitempty"`
	// HomeOnly restricts all requests to Home.
	HomeOnly bool   `json:"home_only,omitempty" yaml:"home_only,omitempty"`
	Limits   Limits `json:"limits" yaml:"limits"`
	// Priority ranges from 0 (lowest) to 9.
	Priority int `json:"priority" yaml:"priority"`
}

// Limits are the fleet-wide limits for all requests of one customer of a plan
// together. Zero means no limit.
type Limits struct {
	// Concurrency is the maximum number of requests in flight.
	Concurrency int `json:"concurrency" yaml:"concurrency"`
	// TokensPerSecond is the maximum rate of prompt and generated tokens together.
	TokensPerSecond int `json:"tokens_per_second" yaml:"tokens_per_second"`
	// MaxOutputTokens is the maximum number of tokens of one generation.
	MaxOutputTokens int `json:"max_output_tokens" yaml:"max_output_tokens"`
}

// Service describes one plain service.
type Service struct {
	ID string `json:"id" yaml:"id"`
	// Routes determine which calls are repeatable; the first match applies. Calls
	// without a match are repeatable only if the method is GET, HEAD or OPTIONS.
	Routes []Route `json:"routes" yaml:"routes"`
}

// Route states whether matching calls of a service are repeatable.
type Route struct {
	// Methods are HTTP methods; empty means all.
	Methods []string `json:"methods,omitempty" yaml:"methods,omitempty"`
	// PathPrefix is the prefix of the path below the service, with a leading slash.
	PathPrefix string `json:"path_prefix" yaml:"path_prefix"`
	Repeatable bool   `json:"repeatable" yaml:"repeatable"`
}

// Change is an entry of the audit trail.
type Change struct {
	// ID is unique. It identifies the change if the response to its write is lost.
	ID         string              `json:"id"`
	Version    domain.ListsVersion `json:"version"`
	Author     string              `json:"author"`
	Reason     string              `json:"reason"`
	Time       time.Time           `json:"time"`
	Difference []string            `json:"difference"`
}

// Versioned is the value stored under Key: the lists, the change that produced them
// and the latest part of the audit trail, written by one compare-and-swap.
type Versioned struct {
	Version  domain.ListsVersion `json:"version"`
	Document Document            `json:"document"`
	Change   Change              `json:"change"`
	// Trail contains the latest changes before Change, newest first.
	Trail []Change `json:"trail"`
}

// Package lists holds the operators' two lists as one versioned document: the
// plans that customers hold, and what each plan may use. A document is
// validated as a whole, compiled to an immutable Snapshot for decisions, and
// adopted only if its version is higher than the one in force.
package lists

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Key is the key-value service's key of the current lists.
const Key = "crocusspread/lists/current"

// HistoryPrefix starts the keys of changes that left the embedded trail; the
// version as 20 decimal digits follows.
const HistoryPrefix = "crocusspread/lists/history/"

// MaxDocumentBytes bounds an encoded document: the key-value service holds
// values of up to a megabyte.
const MaxDocumentBytes = 1 << 20

// Document is both lists together.
type Document struct {
	// Customers is the first list: who holds which plan.
	Customers []Customer `json:"customers" yaml:"customers"`
	// Regions declares every region that plans may name.
	Regions []domain.Region `json:"regions" yaml:"regions"`
	// Plans is the second list: what each plan may use.
	Plans []Plan `json:"plans" yaml:"plans"`
	// Services describes the plain services and which routes may be repeated.
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
	// Home is the preferred region; empty for "nearest to the caller".
	Home domain.Region `json:"home,omitempty" yaml:"home,omitempty"`
	// HomeOnly binds all requests to Home.
	HomeOnly bool   `json:"home_only,omitempty" yaml:"home_only,omitempty"`
	Limits   Limits `json:"limits" yaml:"limits"`
	// Priority is 0 (lowest) to 9.
	Priority int `json:"priority" yaml:"priority"`
}

// Limits bound what all requests of a plan's customer use together, fleet-wide.
// Zero means "no limit".
type Limits struct {
	// Concurrency is the number of requests in flight.
	Concurrency int `json:"concurrency" yaml:"concurrency"`
	// TokensPerSecond is the rate of prompt and generated tokens.
	TokensPerSecond int `json:"tokens_per_second" yaml:"tokens_per_second"`
	// MaxOutputTokens bounds one generation.
	MaxOutputTokens int `json:"max_output_tokens" yaml:"max_output_tokens"`
}

// Service describes one plain service.
type Service struct {
	ID string `json:"id" yaml:"id"`
	// Routes state which calls may be repeated; the first match decides. Calls
	// without a match may be repeated only if the method is GET, HEAD or OPTIONS.
	Routes []Route `json:"routes" yaml:"routes"`
}

// Route states for calls of a service if they may be repeated.
type Route struct {
	// Methods are HTTP methods; empty means all.
	Methods []string `json:"methods,omitempty" yaml:"methods,omitempty"`
	// PathPrefix starts the path below the service, with a leading slash.
	PathPrefix string `json:"path_prefix" yaml:"path_prefix"`
	Repeatable bool   `json:"repeatable" yaml:"repeatable"`
}

// Change is an entry of the audit trail.
type Change struct {
	// ID is unique; a write whose answer was lost is found again by it.
	ID         string              `json:"id"`
	Version    domain.ListsVersion `json:"version"`
	Author     string              `json:"author"`
	Reason     string              `json:"reason"`
	Time       time.Time           `json:"time"`
	Difference []string            `json:"difference"`
}

// Versioned is the value stored under Key: the lists, the change that made them
// and the tail of the audit trail, written by one compare-and-swap.
type Versioned struct {
	Version  domain.ListsVersion `json:"version"`
	Document Document            `json:"document"`
	Change   Change              `json:"change"`
	// Trail holds the latest changes before Change, newest first.
	Trail []Change `json:"trail"`
}

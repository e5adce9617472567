package orders

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// KeyPrefix starts the key of a failure domain's orderer; its name follows.
const KeyPrefix = "crocusspread/orderer/"

// Config sets an Orderer's identity, times and bounds.
type Config struct {
	Node        domain.NodeID
	Incarnation domain.Incarnation
	Domain      domain.FailureDomain

	// TTL is the lease's. All nodes of a domain must have the same TTL and
	// SendDeadline, because a new holder waits for both.
	TTL time.Duration
	// SendDeadline bounds one order; an order begins only if the lease lasts
	// longer than that.
	SendDeadline time.Duration
	// RoundInterval is the time between a holder's rounds, each of which begins
	// with a keep-alive.
	RoundInterval time.Duration
	// CallTimeout bounds each call to the platform and each reading of a load.
	CallTimeout time.Duration
	// LookStagger, times the rank, is a candidate's wait before its first look
	// at the key. LookInterval is the time between looks of the first rank; it
	// doubles with each rank, at most maxLookDoublings times.
	LookStagger  time.Duration
	LookInterval time.Duration

	// MaxModelsPerEngine is how many models an engine is filled up to; with zero
	// the node neither orders nor takes the lease.
	MaxModelsPerEngine int
	// Floor is the number of engines that each model of the plans should be on.
	Floor int
	// MaxChangingShare bounds the share of the engines that change at once; one
	// may always.
	MaxChangingShare float64
	// MissingFor is how long a model must be below its floor before it is loaded.
	MissingFor time.Duration
	// HighUse and LowUse are shares of the slots of a model's engines. A model
	// whose use is at least HighUse for DemandFor gets one more engine; one that
	// is at most LowUse as long may lose one for that. What is between is left.
	HighUse, LowUse float64
	DemandFor       time.Duration
	// MinDwell is how long a model stays on an engine at least.
	MinDwell time.Duration
	// ChangeTimeout is how long an engine may take to report an accepted order
	// as carried out; then it is planned anew.
	ChangeTimeout time.Duration
}

// DefaultConfig returns the settings of a node.
func DefaultConfig(node domain.NodeID, inc domain.Incarnation, fd domain.FailureDomain) Config {
	return Config{
		Node: node, Incarnation: inc, Domain: fd,
		TTL:                15 * time.Second,
		SendDeadline:       2 * time.Second,
		RoundInterval:      5 * time.Second,
		CallTimeout:        2 * time.Second,
		LookStagger:        3 * time.Second,
		LookInterval:       15 * time.Second,
		MaxModelsPerEngine: 4,
		Floor:              1,
		MaxChangingShare:   0.2,
		MissingFor:         15 * time.Second,
		HighUse:            0.85,
		LowUse:             0.3,
		DemandFor:          time.Minute,
		MinDwell:           10 * time.Minute,
		ChangeTimeout:      5 * time.Minute,
	}
}

// maxLookDoublings bounds the time between looks of the lowest ranks.
const maxLookDoublings = 4

// Key returns the key of a failure domain's orderer.
func Key(fd domain.FailureDomain) string { return KeyPrefix + string(fd) }

package orders

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// KeyPrefix is the prefix of the keys of orderers. It is followed by the name of
// the failure domain.
const KeyPrefix = "crocusspread/orderer/"

// Config holds an Orderer's identity, times and limits.
type Config struct {
	Node        domain.NodeID
	Incarnation domain.Incarnation
	Domain      domain.FailureDomain

	// TTL is the time to live of the lease. All nodes of a domain must have the
	// same TTL and SendDeadline, because a new holder waits for both.
	TTL time.Duration
	// SendDeadline is the timeout of one order. An order is sent only if the
	// remaining lease time exceeds it.
	SendDeadline time.Duration
	// RoundInterval is the time between a holder's rounds. Each round begins with a
	// keep-alive.
	RoundInterval time.Duration
	// CallTimeout is the timeout of each call to the platform and of each load
	// request.
	CallTimeout time.Duration
	// LookStagger multiplied by the rank is a candidate's delay before it first
	// reads the key. LookInterval is the time between reads at rank zero; it doubles
	// with each rank, at most maxIntervalDoublings times.
	LookStagger  time.Duration
	LookInterval time.Duration

	// MaxModelsPerEngine is the number of models up to which an engine is filled.
	// If it is zero, the node neither sends orders nor acquires the lease.
	MaxModelsPerEngine int
	// Floor is the minimum number of engines on which each model of the plans should
	// be loaded.
	Floor int
	// MaxChangingShare is the maximum fraction of the engines that change at the
	// same time. One engine may always change.
	MaxChangingShare float64
	// MissingFor is how long a model must be below Floor before it is loaded.
	MissingFor time.Duration
	// HighUse and LowUse are thresholds for the utilization of a model's engines, as
	// a fraction of their slots. A model whose utilization is at least HighUse for
	// DemandFor is loaded on one more engine. A model whose utilization is at most
	// LowUse for DemandFor may be unloaded from an engine to make room. Models
	// between the thresholds are left unchanged.
	HighUse, LowUse float64
	DemandFor       time.Duration
	// MinDwell is the minimum time for which a model stays loaded on an engine.
	MinDwell time.Duration
	// ChangeTimeout is the maximum time from the acceptance of an order until the
	// engine reports the ordered models; afterwards the engine is planned again.
	ChangeTimeout time.Duration
}

// DefaultConfig returns the default settings of a node.
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

// maxIntervalDoublings limits the time between reads of the key by candidates of
// low rank.
const maxIntervalDoublings = 4

// Key returns the key of a failure domain's orderer.
func Key(fd domain.FailureDomain) string { return KeyPrefix + string(fd) }

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
	// AcquireStagger multiplied by the rank is a candidate's delay before it first
	// reads the key. AcquireInterval is the time between reads at rank zero; it
	// doubles with each rank, at most maxIntervalDoublings times.
	AcquireStagger  time.Duration
	AcquireInterval time.Duration

	// MaxModelsPerEngine is the number of models up to which an engine is filled.
	// If it is zero, the node neither sends orders nor acquires the lease.
	MaxModelsPerEngine int
	// MinReplicas is the minimum number of engines on which each model of the plans
	// should be loaded.
	MinReplicas int
	// MaxChangingFraction is the maximum fraction of the engines that change at the
	// same time. One engine may always change.
	MaxChangingFraction float64
	// MissingDuration is how long a model must be below MinReplicas before it is
	// loaded.
	MissingDuration time.Duration
	// HighUtilization and LowUtilization are thresholds for the utilization of a
	// model's engines, as a fraction of their slots. A model whose utilization is at
	// least HighUtilization for DemandDuration is loaded on one more engine. A model
	// whose utilization is at most LowUtilization for DemandDuration may be unloaded
	// from an engine to make room. Models between the thresholds are left unchanged.
	HighUtilization, LowUtilization float64
	DemandDuration                  time.Duration
	// MinLoadedTime is the minimum time for which a model stays loaded on an engine.
	MinLoadedTime time.Duration
	// ChangeTimeout is the maximum time from the acceptance of an order until the
	// engine reports the ordered models; afterwards the engine is planned again.
	ChangeTimeout time.Duration
}

// DefaultConfig returns the default settings of a node.
func DefaultConfig(node domain.NodeID, inc domain.Incarnation, fd domain.FailureDomain) Config {
	return Config{
		Node: node, Incarnation: inc, Domain: fd,
		TTL:                 15 * time.Second,
		SendDeadline:        2 * time.Second,
		RoundInterval:       5 * time.Second,
		CallTimeout:         2 * time.Second,
		AcquireStagger:      3 * time.Second,
		AcquireInterval:     15 * time.Second,
		MaxModelsPerEngine:  4,
		MinReplicas:         1,
		MaxChangingFraction: 0.2,
		MissingDuration:     15 * time.Second,
		HighUtilization:     0.85,
		LowUtilization:      0.3,
		DemandDuration:      time.Minute,
		MinLoadedTime:       10 * time.Minute,
		ChangeTimeout:       5 * time.Minute,
	}
}

// maxIntervalDoublings limits the time between reads of the key by candidates of
// low rank.
const maxIntervalDoublings = 4

// Key returns the key of a failure domain's orderer.
func Key(fd domain.FailureDomain) string { return KeyPrefix + string(fd) }

package admission

import "time"

// Config sets the limits of queues and retries. Zero fields are set to the
// values of DefaultConfig.
type Config struct {
	// Disabled admits every request immediately, as a baseline for comparisons.
	Disabled bool
	// ShortOutputTokens and ShortPromptTokens are the largest counts of a request of
	// class Short; a service call is always Short.
	ShortOutputTokens int
	ShortPromptTokens int
	// ShortWeight is the share of slot time that class Short receives while both classes are
	// queued, from 0 to 1.
	ShortWeight float64
	// ShortWait and LongWait are the maximum queueing times of a request of each class.
	ShortWait time.Duration
	LongWait  time.Duration
	// AgingStep is the queueing time that raises a request's priority by one.
	AgingStep time.Duration
	// MaxQueued is the maximum number of requests queued for one target,
	// MaxQueuedPerCustomer the maximum queued for one customer's limits.
	MaxQueued            int
	MaxQueuedPerCustomer int
	// Burst is the time in which a full token bucket would be used up at its rate.
	Burst time.Duration
	// RetryShare is the number of retries allowed per admitted request, RetriesPerSecond
	// the number allowed in addition; MaxRetries is the maximum number of unused retries
	// that accumulate.
	RetryShare       float64
	RetriesPerSecond float64
	MaxRetries       float64
}

// DefaultConfig returns the default settings of a node.
func DefaultConfig() Config {
	return Config{
		ShortOutputTokens: 256, ShortPromptTokens: 4096, ShortWeight: 0.75,
		ShortWait: 2 * time.Second, LongWait: 10 * time.Second, AgingStep: 500 * time.Millisecond,
		MaxQueued: 1024, MaxQueuedPerCustomer: 64, Burst: 2 * time.Second,
		RetryShare: 0.1, RetriesPerSecond: 1, MaxRetries: 20,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	orDefault(&c.ShortOutputTokens, d.ShortOutputTokens)
	orDefault(&c.ShortPromptTokens, d.ShortPromptTokens)
	orDefault(&c.ShortWeight, d.ShortWeight)
	orDefault(&c.ShortWait, d.ShortWait)
	orDefault(&c.LongWait, d.LongWait)
	orDefault(&c.AgingStep, d.AgingStep)
	orDefault(&c.MaxQueued, d.MaxQueued)
	orDefault(&c.MaxQueuedPerCustomer, d.MaxQueuedPerCustomer)
	orDefault(&c.Burst, d.Burst)
	orDefault(&c.RetryShare, d.RetryShare)
	orDefault(&c.RetriesPerSecond, d.RetriesPerSecond)
	orDefault(&c.MaxRetries, d.MaxRetries)
	return c
}

func orDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

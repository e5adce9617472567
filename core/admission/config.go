package admission

import "time"

// Config bounds queues and retries. Zero fields take DefaultConfig's values.
type Config struct {
	// Off lets every request through at once, to compare with.
	Off bool
	// ShortOutputTokens and ShortPromptTokens bound short work; a call of a
	// service is short.
	ShortOutputTokens int
	ShortPromptTokens int
	// ShortWeight is the share of slot time that short work gets while both
	// classes wait, 0 to 1.
	ShortWeight float64
	// ShortWait and LongWait bound a request's time in the queues.
	ShortWait time.Duration
	LongWait  time.Duration
	// AgingStep is the wait that counts as one step of priority.
	AgingStep time.Duration
	// MaxQueued bounds the queue of one target, MaxQueuedPerCustomer that of one
	// customer's limits; both are counts of requests.
	MaxQueued            int
	MaxQueuedPerCustomer int
	// Burst is how long a full token bucket lasts at its rate.
	Burst time.Duration
	// RetryShare is the number of retries allowed per admitted request, and
	// RetriesPerSecond those allowed beside it; MaxRetries bounds the savings.
	RetryShare       float64
	RetriesPerSecond float64
	MaxRetries       float64
}

// DefaultConfig returns the settings of a node.
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

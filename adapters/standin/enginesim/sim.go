// Package enginesim simulates a model engine. It serves the engine's HTTP
// interface, models latency by a number of slots, a prefill speed with a prefix
// cache and a decode speed, and generates text that is a deterministic function
// of the request.
package enginesim

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// Config configures a Sim. Fields that are zero take the default given in their
// comment.
type Config struct {
	ID domain.UpstreamID `yaml:"id" json:"id"`
	// Models are the models loaded initially.
	Models []string `yaml:"models" json:"models"`
	// Slots is the number of concurrent generations; default 8.
	Slots int `yaml:"slots" json:"slots"`
	// PrefillTokensPerSecond is the prompt processing speed of the engine; default
	// 8000.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" json:"prefill_tokens_per_second"`
	// DecodeTokensPerSecond is the decode speed of one generation; default 40.
	DecodeTokensPerSecond float64 `yaml:"decode_tokens_per_second" json:"decode_tokens_per_second"`
	// CacheBlocks is the capacity of the prefix cache in blocks; default 4096.
	CacheBlocks int `yaml:"cache_blocks" json:"cache_blocks"`
	// BlockBytes is the length of the prompt text of one cache block, in bytes;
	// default 256.
	BlockBytes int `yaml:"block_bytes" json:"block_bytes"`
	// TimeScale is the factor applied to every modelled duration; zero disables
	// delays.
	TimeScale float64 `yaml:"time_scale" json:"time_scale"`
	// LoadLag is the age of the load that the engine reports.
	LoadLag time.Duration `yaml:"load_lag" json:"load_lag_ns"`
	// CacheEventLag is the delay after which a cache event becomes visible.
	CacheEventLag time.Duration `yaml:"cache_event_lag" json:"cache_event_lag_ns"`
	// CacheEventDropInterval drops every n-th cache event; zero drops none.
	CacheEventDropInterval uint64 `yaml:"cache_event_gap_every" json:"cache_event_gap_every"`
	// CheckFencing makes the engine reject orders with a fencing number lower than
	// the highest accepted one.
	CheckFencing bool `yaml:"checks_fencing" json:"checks_fencing"`
	// OrderDelay is the time until an accepted order takes effect.
	OrderDelay time.Duration `yaml:"order_delay" json:"order_delay_ns"`
	// DefaultTokens is the number of tokens generated for a request without
	// max_tokens; default 16.
	DefaultTokens int `yaml:"default_tokens" json:"default_tokens"`
	// KeepAliveInterval is the interval of keep-alive comments while a stream is idle;
	// default 1 s.
	KeepAliveInterval time.Duration `yaml:"keep_alive" json:"keep_alive_ns"`
	// EventsPerFlush is the number of stream events written per flush; default 1.
	EventsPerFlush int `yaml:"events_per_flush" json:"events_per_flush"`
	// MaxExecutions is the maximum number of executions retained; default 100000.
	MaxExecutions int `yaml:"keep_executions" json:"keep_executions"`
	// CostPerMillionTokens is the cost included in the load report.
	CostPerMillionTokens float64 `yaml:"cost_per_million_tokens" json:"cost_per_million_tokens"`
	// Now is the clock; nil means time.Now.
	Now func() time.Time `yaml:"-" json:"-"`
	// Sleep waits for d or until ctx ends; nil means a real timer.
	Sleep func(ctx context.Context, d time.Duration) error `yaml:"-" json:"-"`
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, 8)
	setDefault(&c.PrefillTokensPerSecond, 8000)
	setDefault(&c.DecodeTokensPerSecond, 40)
	setDefault(&c.CacheBlocks, 4096)
	setDefault(&c.BlockBytes, 256)
	setDefault(&c.DefaultTokens, 16)
	setDefault(&c.KeepAliveInterval, time.Second)
	setDefault(&c.EventsPerFlush, 1)
	setDefault(&c.MaxExecutions, 100_000)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Sleep == nil {
		c.Sleep = sleep
	}
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Execution records what the engine did for one request ID.
type Execution struct {
	RequestID domain.RequestID `json:"request_id"`
	Model     string           `json:"model"`
	// Starts is the number of generations started; Resumes is how many of them
	// resumed after an earlier event.
	Starts  int `json:"starts"`
	Resumes int `json:"resumes"`
	// Events and Bytes are the totals sent; Cancellations is the number of cancel requests
	// that found a running generation; Completed is the number of complete responses.
	Events        uint64 `json:"events"`
	Bytes         uint64 `json:"bytes"`
	Cancellations int    `json:"cancels"`
	Completed     int    `json:"completed"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// OrderRecord is an order that the engine received.
type OrderRecord struct {
	Order    ports.EngineOrder `json:"order"`
	Accepted bool              `json:"accepted"`
	// ReceivedAt is the time at which the order was received, by the engine's clock.
	ReceivedAt time.Time `json:"at"`
}

// Sim is a simulated model engine. It is safe for concurrent use.
type Sim struct {
	cfg     Config
	mux     *http.ServeMux
	faults  faults.Set
	slots   *slotQueue
	prefill *slotQueue
	cache   *prefixCache
	load    loadHistory

	mu             sync.Mutex
	executions     map[domain.RequestID]*Execution
	executionOrder []domain.RequestID // oldest first
	running        map[domain.RequestID]*generation
	queuedTokens   int // prompt tokens not yet prefilled
	orders         []OrderRecord
	fencing        uint64
	models         []string
	pendingModels  *pendingModelSet
}

// pendingModelSet is the model set of an accepted order that has not taken effect.
type pendingModelSet struct {
	models      []string
	effectiveAt time.Time
}

// New returns a simulated model engine.
func New(cfg Config) *Sim {
	cfg = cfg.withDefaults()
	s := &Sim{
		cfg:        cfg,
		slots:      newSlotQueue(cfg.Slots),
		prefill:    newSlotQueue(1),
		cache:      newPrefixCache(cfg),
		executions: make(map[domain.RequestID]*Execution),
		running:    make(map[domain.RequestID]*generation),
		models:     cfg.Models,
	}
	s.mux = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Sim) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults; without arguments it removes them all.
func (s *Sim) SetFaults(f ...faults.Fault) { s.faults.Replace(f...) }

// Execution returns the record of a request ID, or the zero Execution if there is
// none.
func (s *Sim) Execution(id domain.RequestID) Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.executions[id]; ok {
		return *e
	}
	return Execution{}
}

// Executions returns all retained execution records, oldest first.
func (s *Sim) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Execution, 0, len(s.executionOrder))
	for _, id := range s.executionOrder {
		out = append(out, *s.executions[id])
	}
	return out
}

// Orders returns the orders received, oldest first.
func (s *Sim) Orders() []OrderRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]OrderRecord(nil), s.orders...)
}

// updateExecution applies update to the record of a request ID, creating the record
// if needed.
func (s *Sim) updateExecution(id domain.RequestID, update func(*Execution)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.executions[id]
	if !ok {
		e = &Execution{RequestID: id}
		s.executions[id] = e
		s.executionOrder = append(s.executionOrder, id)
	}
	update(e)
	if len(s.executionOrder) > s.cfg.MaxExecutions {
		delete(s.executions, s.executionOrder[0])
		s.executionOrder = s.executionOrder[1:]
	}
}

// scaleDuration returns a modelled duration multiplied by Config.TimeScale.
func (s *Sim) scaleDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.cfg.TimeScale)
}

// loadedModels returns the loaded models, after applying a pending order that is
// due.
func (s *Sim) loadedModels() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingModels != nil && !s.cfg.Now().Before(s.pendingModels.effectiveAt) {
		s.models, s.pendingModels = s.pendingModels.models, nil
	}
	return s.models
}

// acceptOrder records an order and schedules it to take effect. If fencing is checked,
// it rejects an order with an outdated fencing number and returns false.
func (s *Sim) acceptOrder(o ports.EngineOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := !s.cfg.CheckFencing || o.Fencing >= s.fencing
	s.orders = append(s.orders, OrderRecord{Order: o, Accepted: accepted, ReceivedAt: s.cfg.Now()})
	if accepted {
		s.fencing = max(s.fencing, o.Fencing)
		s.pendingModels = &pendingModelSet{models: o.Models, effectiveAt: s.cfg.Now().Add(s.scaleDuration(s.cfg.OrderDelay))}
	}
	return accepted
}

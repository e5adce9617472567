// Package enginesim is a stand-in for a model engine. It serves the engine's
// HTTP interface, models time by slots, a prefill speed with a prefix cache
// and a decode speed, and generates text that is a function of the request.
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

// Config sets up a Sim. Zero fields take the defaults named.
type Config struct {
	ID domain.UpstreamID `yaml:"id" json:"id"`
	// Models are loaded at the start.
	Models []string `yaml:"models" json:"models"`
	// Slots is the number of generations in the batch; 8.
	Slots int `yaml:"slots" json:"slots"`
	// PrefillTokensPerSecond is the engine's prompt speed; 8000.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" json:"prefill_tokens_per_second"`
	// DecodeTokensPerSecond is the speed of one stream; 40.
	DecodeTokensPerSecond float64 `yaml:"decode_tokens_per_second" json:"decode_tokens_per_second"`
	// CacheBlocks is the size of the prefix cache in blocks; 4096.
	CacheBlocks int `yaml:"cache_blocks" json:"cache_blocks"`
	// BlockBytes is the prompt text of one cached block; 256.
	BlockBytes int `yaml:"block_bytes" json:"block_bytes"`
	// TimeScale multiplies every modelled duration; zero means no delay.
	TimeScale float64 `yaml:"time_scale" json:"time_scale"`
	// LoadLag is the age of the load that the engine reports.
	LoadLag time.Duration `yaml:"load_lag" json:"load_lag_ns"`
	// CacheEventLag is how late cache events show.
	CacheEventLag time.Duration `yaml:"cache_event_lag" json:"cache_event_lag_ns"`
	// CacheEventGapEvery loses each so many-th cache event; zero loses none.
	CacheEventGapEvery uint64 `yaml:"cache_event_gap_every" json:"cache_event_gap_every"`
	// ChecksFencing makes the engine refuse orders with an older number.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing"`
	// OrderDelay is how long an accepted order takes to be in force.
	OrderDelay time.Duration `yaml:"order_delay" json:"order_delay_ns"`
	// DefaultTokens is the length of a generation without max_tokens; 16.
	DefaultTokens int `yaml:"default_tokens" json:"default_tokens"`
	// KeepAlive is the interval of comments while nothing else is sent; 1 s.
	KeepAlive time.Duration `yaml:"keep_alive" json:"keep_alive_ns"`
	// EventsPerFlush is the number of events sent at once; 1.
	EventsPerFlush int `yaml:"events_per_flush" json:"events_per_flush"`
	// KeepExecutions is the number of executions recorded; 100000.
	KeepExecutions int `yaml:"keep_executions" json:"keep_executions"`
	// CostPerMillionTokens is reported with the load.
	CostPerMillionTokens float64 `yaml:"cost_per_million_tokens" json:"cost_per_million_tokens"`
	// Now is the clock; nil means time.Now.
	Now func() time.Time `yaml:"-" json:"-"`
	// Sleep waits for a duration or until ctx ends; nil means a timer.
	Sleep func(ctx context.Context, d time.Duration) error `yaml:"-" json:"-"`
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, 8)
	setDefault(&c.PrefillTokensPerSecond, 8000)
	setDefault(&c.DecodeTokensPerSecond, 40)
	setDefault(&c.CacheBlocks, 4096)
	setDefault(&c.BlockBytes, 256)
	setDefault(&c.DefaultTokens, 16)
	setDefault(&c.KeepAlive, time.Second)
	setDefault(&c.EventsPerFlush, 1)
	setDefault(&c.KeepExecutions, 100_000)
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

// Execution records what the engine did for one request id.
type Execution struct {
	RequestID domain.RequestID `json:"request_id"`
	Model     string           `json:"model"`
	// Starts counts the generations begun, Resumes those with an offset.
	Starts  int `json:"starts"`
	Resumes int `json:"resumes"`
	// Events and Bytes count what was sent in all, Cancels the cancel requests
	// that met a running generation, Completed the terminal events sent.
	Events    uint64 `json:"events"`
	Bytes     uint64 `json:"bytes"`
	Cancels   int    `json:"cancels"`
	Completed int    `json:"completed"`
	// CachedTokens counts prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// OrderRecord is an order that the engine received.
type OrderRecord struct {
	Order    ports.EngineOrder `json:"order"`
	Accepted bool              `json:"accepted"`
	// At is when the order arrived, by the engine's clock.
	At time.Time `json:"at"`
}

// Sim is the stand-in. It is safe for concurrent use.
type Sim struct {
	cfg     Config
	mux     *http.ServeMux
	faults  faults.Set
	slots   *queue
	prefill *queue
	cache   *prefixCache
	load    loadLog

	mu         sync.Mutex
	executions map[domain.RequestID]*Execution
	recorded   []domain.RequestID // oldest first
	running    map[domain.RequestID]*generation
	queued     int // prompt tokens not yet prefilled
	orders     []OrderRecord
	fencing    uint64
	models     []string
	wanted     *wantedModels
}

// wantedModels is an accepted order that is not yet in force.
type wantedModels struct {
	models []string
	ready  time.Time
}

// New returns a stand-in.
func New(cfg Config) *Sim {
	cfg = cfg.withDefaults()
	s := &Sim{
		cfg:        cfg,
		slots:      newQueue(cfg.Slots),
		prefill:    newQueue(1),
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

// SetFaults replaces the faults in force; none heals the engine.
func (s *Sim) SetFaults(f ...faults.Fault) { s.faults.Replace(f...) }

// Execution returns the record of one request id; zero if there is none.
func (s *Sim) Execution(id domain.RequestID) Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.executions[id]; ok {
		return *e
	}
	return Execution{}
}

// Executions returns all records, oldest first.
func (s *Sim) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Execution, 0, len(s.recorded))
	for _, id := range s.recorded {
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

// record changes the record of one request id.
func (s *Sim) record(id domain.RequestID, change func(*Execution)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.executions[id]
	if !ok {
		e = &Execution{RequestID: id}
		s.executions[id] = e
		s.recorded = append(s.recorded, id)
	}
	change(e)
	if len(s.recorded) > s.cfg.KeepExecutions {
		delete(s.executions, s.recorded[0])
		s.recorded = s.recorded[1:]
	}
}

// scaled returns a modelled duration as it is to pass.
func (s *Sim) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.cfg.TimeScale)
}

// loaded returns the models in force.
func (s *Sim) loaded() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wanted != nil && !s.cfg.Now().Before(s.wanted.ready) {
		s.models, s.wanted = s.wanted.models, nil
	}
	return s.models
}

// order applies an order, or refuses one with an older fencing number.
func (s *Sim) order(o ports.EngineOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := !s.cfg.ChecksFencing || o.Fencing >= s.fencing
	s.orders = append(s.orders, OrderRecord{Order: o, Accepted: accepted, At: s.cfg.Now()})
	if accepted {
		s.fencing = max(s.fencing, o.Fencing)
		s.wanted = &wantedModels{models: o.Models, ready: s.cfg.Now().Add(s.scaled(s.cfg.OrderDelay))}
	}
	return accepted
}

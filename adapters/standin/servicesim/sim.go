// Package servicesim is a stand-in for a plain service. It takes any method
// under any path, records each execution and sends the body back.
package servicesim

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	defaultSlots = 64
	echoBytes    = 16 << 10

	// PathExecutions answers a GET with a JSON array of Execution, for tests.
	PathExecutions = "/executions"
	// HeaderExecutions carries the number of times the operation has run.
	HeaderExecutions = "X-Executions"
)

// Config sets up a Sim.
type Config struct {
	ID domain.UpstreamID `yaml:"id" json:"id"`
	// Slots is reported with the load; zero means 64.
	Slots int `yaml:"slots" json:"slots"`
	// WorkTime is how long each execution takes.
	WorkTime time.Duration `yaml:"work_time" json:"work_time_ns"`
	// CostPerMillionTokens is reported with the load.
	CostPerMillionTokens float64 `yaml:"cost_per_million_tokens" json:"cost_per_million_tokens"`
}

// Execution counts the executions under one id: that of X-Operation-Id, or
// else of X-Request-Id.
type Execution struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Count  int    `json:"count"`
}

// Sim is the stand-in. It is safe for concurrent use.
type Sim struct {
	cfg     Config
	mux     *http.ServeMux
	faults  faults.Set
	running atomic.Int64

	mu         sync.Mutex
	executions map[string]*Execution
}

// New returns a stand-in.
func New(cfg Config) *Sim {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	s := &Sim{cfg: cfg, executions: make(map[string]*Execution), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+upstream.PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Load()) })
	s.mux.Handle("POST "+faults.Path, &s.faults)
	s.mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Executions()) })
	return s
}

// SetFaults replaces the faults in force; none heals the service.
func (s *Sim) SetFaults(f ...faults.Fault) { s.faults.Replace(f...) }

// Count returns the number of executions under an id.
func (s *Sim) Count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.executions[id]; ok {
		return e.Count
	}
	return 0
}

// Executions returns all records, ordered by id.
func (s *Sim) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Execution, 0, len(s.executions))
	for _, e := range s.executions {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b Execution) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Load returns the service's load report.
func (s *Sim) Load() domain.LoadReport {
	return domain.LoadReport{
		Upstream:             s.cfg.ID,
		Running:              int(s.running.Load()),
		Slots:                s.cfg.Slots,
		Models:               []string{},
		Leaving:              s.faults.Has(faults.Leave),
		CostPerMillionTokens: s.cfg.CostPerMillionTokens,
	}
}

// ServeHTTP implements http.Handler. The paths of the stand-in's own interface
// go before the service's; they match cleaned paths only, so that the mux
// never redirects a call.
func (s *Sim) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case upstream.PathLoad, faults.Path, PathExecutions:
		s.mux.ServeHTTP(w, r)
	default:
		s.serveCall(w, r)
	}
}

func (s *Sim) serveCall(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	effects := s.faults.Take()
	if _, ok := effects.Find(faults.Refuse); ok {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if len(effects) > 0 {
		serveFaulty(w, r, effects, s)
		return
	}
	s.serveWell(w, r, nil)
}

// serveFaulty reads the whole request before a fault hits.
func serveFaulty(w http.ResponseWriter, r *http.Request, effects faults.Effects, s *Sim) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		faults.Abort()
	}
	if slow, ok := effects.Find(faults.Slow); ok {
		pause(r, slow.Delay)
	}
	if _, ok := effects.Find(faults.CloseBeforeRun); ok {
		faults.Abort()
	}
	if _, ok := effects.Find(faults.Silent); ok {
		faults.Hang(r)
	}
	if _, ok := effects.Find(faults.CloseAfterRun); ok {
		s.run(r)
		faults.Abort()
	}
	if _, ok := effects.Find(faults.SilentAfterRun); ok {
		s.run(r)
		faults.Hang(r)
	}
	s.serveWell(w, r, body)
}

// serveWell runs the call and sends its body back, as it arrives unless read.
func (s *Sim) serveWell(w http.ResponseWriter, r *http.Request, read []byte) {
	count := s.run(r)
	pause(r, s.cfg.WorkTime)
	if ct := r.Header.Get("Content-Type"); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.Header().Set("X-Upstream-Id", string(s.cfg.ID))
	w.Header().Set(HeaderExecutions, strconv.Itoa(count))
	flush := http.NewResponseController(w)
	_ = flush.EnableFullDuplex() // HTTP/2 and later always are
	if read != nil {
		_, _ = w.Write(read) // a broken connection is the client's to see
		return
	}
	echo(w, flush, r.Body)
}

func echo(w io.Writer, flush *http.ResponseController, body io.Reader) {
	buf := make([]byte, echoBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return
			}
			_ = flush.Flush() // the next write tells
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			faults.Abort()
		}
	}
}

// run records one execution and returns the number so far.
func (s *Sim) run(r *http.Request) int {
	id := r.Header.Get(upstream.HeaderOperationID)
	if id == "" {
		id = r.Header.Get(upstream.HeaderRequestID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.executions[id]
	if !ok {
		e = &Execution{ID: id, Method: r.Method, Path: r.URL.Path}
		s.executions[id] = e
	}
	e.Count++
	return e.Count
}

func pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a broken connection is the client's to see
}

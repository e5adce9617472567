// Package servicesim simulates a plain service. It accepts any method and path,
// records each execution and echoes the request body.
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
	defaultSlots    = 64
	echoBufferBytes = 16 << 10

	// PathExecutions returns a JSON array of Execution to a GET, for tests.
	PathExecutions = "/executions"
	// HeaderExecutions is the response header with the number of times that the
	// operation has been executed.
	HeaderExecutions = "X-Executions"
)

// Config configures a Sim.
type Config struct {
	ID domain.UpstreamID `yaml:"id" json:"id"`
	// Slots is the number of slots included in the load report; zero means 64.
	Slots int `yaml:"slots" json:"slots"`
	// ProcessingTime is the duration of each execution.
	ProcessingTime time.Duration `yaml:"work_time" json:"work_time_ns"`
	// CostPerMillionTokens is the cost included in the load report.
	CostPerMillionTokens float64 `yaml:"cost_per_million_tokens" json:"cost_per_million_tokens"`
}

// Execution records the executions with one ID, which is the value of the
// X-Operation-Id header or, without it, of X-Request-Id.
type Execution struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Count  int    `json:"count"`
}

// Sim is a simulated plain service. It is safe for concurrent use.
type Sim struct {
	cfg      Config
	mux      *http.ServeMux
	faults   faults.Set
	inFlight atomic.Int64

	mu         sync.Mutex
	executions map[string]*Execution
}

// New returns a simulated plain service.
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

// SetFaults replaces the injected faults; without arguments it removes them all.
func (s *Sim) SetFaults(f ...faults.Fault) { s.faults.Replace(f...) }

// Count returns the number of executions with an ID.
func (s *Sim) Count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.executions[id]; ok {
		return e.Count
	}
	return 0
}

// Executions returns all execution records, sorted by ID.
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
		Running:              int(s.inFlight.Load()),
		Slots:                s.cfg.Slots,
		Models:               []string{},
		Leaving:              s.faults.Has(faults.ReportLeaving),
		CostPerMillionTokens: s.cfg.CostPerMillionTokens,
	}
}

// ServeHTTP implements http.Handler. The simulator's own paths take precedence over
// those of the service. They are matched exactly before the mux is used, so that
// the mux never redirects a call with an uncleaned path.
func (s *Sim) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case upstream.PathLoad, faults.Path, PathExecutions:
		s.mux.ServeHTTP(w, r)
	default:
		s.serveCall(w, r)
	}
}

func (s *Sim) serveCall(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	effects := s.faults.Take()
	if _, ok := effects.Find(faults.Reject); ok {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if len(effects) > 0 {
		serveWithFaults(w, r, effects, s)
		return
	}
	s.serveEcho(w, r, nil)
}

// serveWithFaults reads the complete request before it applies the faults.
func serveWithFaults(w http.ResponseWriter, r *http.Request, effects faults.Effects, s *Sim) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		faults.Abort()
	}
	if slow, ok := effects.Find(faults.Slow); ok {
		sleep(r, slow.Delay)
	}
	if _, ok := effects.Find(faults.CloseBeforeRun); ok {
		faults.Abort()
	}
	if _, ok := effects.Find(faults.Unresponsive); ok {
		faults.Hang(r)
	}
	if _, ok := effects.Find(faults.CloseAfterRun); ok {
		s.recordExecution(r)
		faults.Abort()
	}
	if _, ok := effects.Find(faults.UnresponsiveAfterRun); ok {
		s.recordExecution(r)
		faults.Hang(r)
	}
	s.serveEcho(w, r, body)
}

// serveEcho executes the call and echoes its body: the given one or, if it is nil,
// the request body as it is received.
func (s *Sim) serveEcho(w http.ResponseWriter, r *http.Request, body []byte) {
	count := s.recordExecution(r)
	sleep(r, s.cfg.ProcessingTime)
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set("X-Upstream-Id", string(s.cfg.ID))
	w.Header().Set(HeaderExecutions, strconv.Itoa(count))
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // HTTP/2 and later are always full-duplex
	if body != nil {
		_, _ = w.Write(body) // the client detects a broken connection
		return
	}
	echo(w, controller, r.Body)
}

func echo(w io.Writer, controller *http.ResponseController, body io.Reader) {
	buf := make([]byte, echoBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return
			}
			_ = controller.Flush() // the next write returns the error
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			faults.Abort()
		}
	}
}

// recordExecution records one execution and returns the number of executions so
// far.
func (s *Sim) recordExecution(r *http.Request) int {
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

func sleep(r *http.Request, d time.Duration) {
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
	_ = json.NewEncoder(w).Encode(v) // the client detects a broken connection
}

package enginesim

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// PathExecutions answers a GET with a JSON array of Execution, for tests.
const PathExecutions = "/executions"

func (s *Sim) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("POST "+upstream.PathCompletions, s.serveCompletion)
	m.HandleFunc("GET "+upstream.PathModels, s.serveModels)
	m.HandleFunc("GET "+upstream.PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Load()) })
	m.HandleFunc("POST "+upstream.PathCancel+"{id}", s.serveCancel)
	m.HandleFunc("POST "+upstream.PathOrders, s.serveOrder)
	m.HandleFunc("GET "+upstream.PathCacheEvents, s.serveCacheEvents)
	m.Handle("POST "+faults.Path, &s.faults)
	m.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Executions()) })
	return m
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Sim) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range s.loaded() {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model"})
	}
	writeJSON(w, list)
}

func (s *Sim) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := domain.RequestID(r.PathValue("id"))
	s.mu.Lock()
	g := s.running[id]
	s.mu.Unlock()
	if g == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	g.cancel()
	s.record(id, func(e *Execution) { e.Cancels++ })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Sim) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o ports.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.order(o) {
		http.Error(w, "older fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Sim) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.cache.after(after))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a broken connection is the client's to see
}

// loadSample is the load from a time on.
type loadSample struct {
	at                       time.Time
	running, waiting, tokens int
}

// loadLog keeps the samples that the lagging report still needs.
type loadLog struct {
	mu      sync.Mutex
	samples []loadSample
}

// at returns the last sample up to a time, and forgets those before it.
func (l *loadLog) at(t time.Time) loadSample {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(t)
	if len(l.samples) == 0 || l.samples[0].at.After(t) {
		return loadSample{}
	}
	return l.samples[0]
}

func (l *loadLog) add(s loadSample, needed time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(needed)
	l.samples = append(l.samples, s)
}

// trim forgets the samples before the last one up to t.
func (l *loadLog) trim(t time.Time) {
	for len(l.samples) > 1 && !l.samples[1].at.After(t) {
		l.samples = l.samples[1:]
	}
}

// noteLoad records a change of the load.
func (s *Sim) noteLoad() {
	running, waiting := s.slots.load()
	s.mu.Lock()
	tokens := s.queued
	s.mu.Unlock()
	now := s.cfg.Now()
	s.load.add(loadSample{at: now, running: running, waiting: waiting, tokens: tokens}, now.Add(-s.cfg.LoadLag))
}

func (s *Sim) queueTokens(n int) {
	s.mu.Lock()
	s.queued += n
	s.mu.Unlock()
	s.noteLoad()
}

// Load returns the engine's load report as of LoadLag ago.
func (s *Sim) Load() domain.LoadReport {
	if s.cfg.LoadLag == 0 {
		s.noteLoad()
	}
	sample := s.load.at(s.cfg.Now().Add(-s.cfg.LoadLag))
	return domain.LoadReport{
		Upstream:               s.cfg.ID,
		Age:                    s.cfg.LoadLag,
		Running:                sample.running,
		Waiting:                sample.waiting,
		Slots:                  s.cfg.Slots,
		PrefillTokensPerSecond: s.cfg.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  s.cfg.DecodeTokensPerSecond,
		QueuedTokens:           sample.tokens,
		Models:                 s.loaded(),
		Leaving:                s.faults.Has(faults.Leave),
		CostPerMillionTokens:   s.cfg.CostPerMillionTokens,
	}
}

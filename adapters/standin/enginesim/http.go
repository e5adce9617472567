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

// PathExecutions returns a JSON array of Execution to a GET, for tests.
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
	for _, m := range s.loadedModels() {
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
		http.Error(w, "request is not running", http.StatusNotFound)
		return
	}
	g.cancel()
	s.updateExecution(id, func(e *Execution) { e.Cancellations++ })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Sim) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o ports.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.acceptOrder(o) {
		http.Error(w, "order has an outdated fencing number", http.StatusConflict)
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
	_ = json.NewEncoder(w).Encode(v) // the client detects a broken connection
}

// loadSample is the load from a point in time until the next sample.
type loadSample struct {
	at                             time.Time
	running, waiting, queuedTokens int
}

// loadHistory holds the load samples that the delayed load report still needs.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
}

// at returns the latest sample that is not after t and discards older ones. It
// returns the zero sample if there is none.
func (l *loadHistory) at(t time.Time) loadSample {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(t)
	if len(l.samples) == 0 || l.samples[0].at.After(t) {
		return loadSample{}
	}
	return l.samples[0]
}

func (l *loadHistory) add(s loadSample, oldestNeeded time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(oldestNeeded)
	l.samples = append(l.samples, s)
}

// trim discards the samples older than the latest one that is not after t. The
// caller must hold the lock.
func (l *loadHistory) trim(t time.Time) {
	for len(l.samples) > 1 && !l.samples[1].at.After(t) {
		l.samples = l.samples[1:]
	}
}

// recordLoad adds a sample of the current load to the history.
func (s *Sim) recordLoad() {
	running, waiting := s.slots.load()
	s.mu.Lock()
	queuedTokens := s.queuedTokens
	s.mu.Unlock()
	now := s.cfg.Now()
	s.load.add(loadSample{at: now, running: running, waiting: waiting, queuedTokens: queuedTokens}, now.Add(-s.cfg.LoadLag))
}

func (s *Sim) addQueuedTokens(n int) {
	s.mu.Lock()
	s.queuedTokens += n
	s.mu.Unlock()
	s.recordLoad()
}

// Load returns the engine's load report as it was Config.LoadLag ago.
func (s *Sim) Load() domain.LoadReport {
	if s.cfg.LoadLag == 0 {
		s.recordLoad()
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
		QueuedTokens:           sample.queuedTokens,
		Models:                 s.loadedModels(),
		Leaving:                s.faults.Has(faults.ReportLeaving),
		CostPerMillionTokens:   s.cfg.CostPerMillionTokens,
	}
}

// Package routedsim stands in for the users' upstreams: servers that register
// themselves in the store and answer requests with a signature. They count what
// ran, so that tests see repeats.
package routedsim

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

// Behaviour says how a server treats requests. The zero value answers at once.
type Behaviour struct {
	// Work is how long a request takes.
	Work time.Duration
	// Events is the number of events of a stream; zero answers with a body.
	Events int
	// EventGap is the time between two events.
	EventGap time.Duration
	// CutAfter cuts the connection after that many events; zero never does.
	CutAfter int
	// Shed refuses all requests as not run.
	Shed bool
	// LoseAnswers runs requests and resets the connection.
	LoseAnswers bool
	// Status of answers; zero is 200.
	Status int
}

// Server is one upstream.
type Server struct {
	ID      string
	Service string
	Zone    string
	Slots   int

	http  *httptest.Server
	store *storesim.Store
	// via is the registered address if it is not the server's own.
	via string

	mu        sync.Mutex
	behaviour Behaviour
	runs      map[string]int
	last      http.Header
	cancelled int
	seq       int
}

// Start runs a server and registers it.
func Start(store *storesim.Store, service, zone, id string) *Server {
	return StartVia(store, service, zone, id, func(address string) string { return address })
}

// StartVia runs a server that registers the address that via returns for its own,
// for instance that of a relay before it.
func StartVia(store *storesim.Store, service, zone, id string, via func(address string) string) *Server {
	s := &Server{ID: id, Service: service, Zone: zone, Slots: 8, store: store, runs: make(map[string]int)}
	s.http = httptest.NewServer(s)
	s.via = via(s.Address())
	s.Register("ready")
	return s
}

// Address is the server's host:port.
func (s *Server) Address() string { return s.http.Listener.Addr().String() }

// Register writes the server's entry with a state.
func (s *Server) Register(state string) {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"service": s.Service, "address": s.via, "zone": s.Zone, "version": "v1", "slots": s.Slots,
		"state": state, "cold_remaining_ms": 0, "seq": seq, "born": 1,
	})
	if err != nil {
		panic(err) // a map of plain values always encodes
	}
	s.store.Put("servers/"+s.ID, entry)
}

// Leave removes the entry; the server goes on serving.
func (s *Server) Leave() { s.store.Delete("servers/" + s.ID) }

// Close stops the server.
func (s *Server) Close() {
	s.http.CloseClientConnections()
	s.http.Close()
}

// Behave changes the behaviour.
func (s *Server) Behave(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Runs returns how often each request ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// LastHeader returns the header of the last request.
func (s *Server) LastHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// Cancelled returns how many requests ended because their connection closed.
func (s *Server) Cancelled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	b := s.behaviour
	s.last = r.Header.Clone()
	s.mu.Unlock()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.Shed {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	if !s.pause(r, b.Work) {
		return
	}
	if b.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", "seal-"+id)
	h.Set("X-Server-Load", "1,0,"+strconv.Itoa(s.Slots))
	if b.Events > 0 && !plainPath(r.URL.Path) {
		s.stream(w, r, b)
		return
	}
	w.WriteHeader(max(http.StatusOK, b.Status))
	_, _ = fmt.Fprintf(w, "%s %s %d", s.ID, r.RequestURI, len(body)) // the caller may have left
}

// plainPath tells if a path asks for a body although the server streams: those
// of calls.
func plainPath(path string) bool {
	for _, prefix := range []string{"/safe/", "/call/", "/home/"} {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// pause waits; it returns false if the caller left.
func (s *Server) pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return false
	}
}

// stream sends events behind the one that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, b Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	out := http.NewResponseController(w)
	for n := first; n <= b.Events; n++ {
		if b.CutAfter > 0 && n > b.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n); err != nil || out.Flush() != nil {
			return
		}
		if !s.pause(r, b.EventGap) {
			return
		}
	}
}

// With returns the behaviour with that many events for requests of streams; see
// Server.ServeHTTP.
func (b Behaviour) With(events int) Behaviour {
	b.Events = events
	return b
}

// Package routedsim simulates the users' upstreams: servers that register
// themselves in the store and return a signature with each response. They count the
// executions of each request, so that tests can detect repeated executions.
package routedsim

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

// Behaviour configures how a server handles requests. With the zero value it
// responds immediately.
type Behaviour struct {
	// ProcessingTime is the processing time of a request.
	ProcessingTime time.Duration
	// QueueTime is how long a request waits before it is executed.
	QueueTime time.Duration
	// KeepsDeadlines ends requests at the deadline that they arrive with: one that still
	// waits is rejected as not executed, another one is answered with status 504.
	KeepsDeadlines bool
	// Events is the number of events of a streaming response; zero means that the
	// response is a plain body.
	Events int
	// EventGap is the time between two events.
	EventGap time.Duration
	// CloseAfterEvents is the number of events after which the connection is closed; zero
	// means never.
	CloseAfterEvents int
	// Undelimited sends responses with neither a length nor chunks; they end with their
	// connection.
	Undelimited bool
	// EndAfterBytes ends responses after this many bytes, those of the head included; zero
	// means never.
	EndAfterBytes int
	// EndInBody, if not nil, returns after how many bytes of the body a response ends; the body
	// is sent in the given parts. Negative means that it is sent whole.
	EndInBody func(parts []string) (bytes int)
	// CrashAtEnd crashes the server when a response ends early.
	CrashAtEnd bool
	// NoContentType omits the content type of streaming responses.
	NoContentType bool
	// CloseInsideEvent closes the connection inside the event with this number; zero means
	// never.
	CloseInsideEvent int
	// RejectAll rejects all requests and marks them as not executed.
	RejectAll bool
	// Leaving says in all responses that the server leaves.
	Leaving bool
	// RetryAfter is what rejections say of when the server wants requests again, as in the header;
	// empty means nothing.
	RetryAfter string
	// DropResponses executes requests and then resets the connection instead of
	// responding.
	DropResponses bool
	// Status is the HTTP status of plain responses; zero means 200.
	Status int
	// RateLimit is the rate, in requests per second from all clients, that the server names in
	// its responses; zero means none. The server only counts: it serves every request.
	RateLimit float64
	// CrashPart is the identifier of a prompt part, as clients write it; the server crashes
	// when it begins to respond to a prompt with the part. Empty means none.
	CrashPart string
	// CrashTarget is a request target; the server crashes when it begins to respond to a request
	// for it. Empty means none.
	CrashTarget string
	// RestartAfter is the time after which a crashed server runs again; zero means never.
	// It has another ID then, unless KeepID is set.
	RestartAfter time.Duration
	KeepID       bool
	// ColdStart is how long the server is cold after a crash; zero means that it is not.
	ColdStart time.Duration
	// RegisterAfter is the time from the restart after a crash until the server writes its new
	// entry and removes the old one; negative means never.
	RegisterAfter time.Duration
	// Brittle is how many requests the server may reject in a second for want of room; at one more it
	// crashes. It says so in all responses. While it is not zero, the server runs no more requests at
	// once than it has slots, and lets up to MaxWaiting wait.
	Brittle, MaxWaiting int
	// NoLoad omits the load from the responses.
	NoLoad bool
}

// Server is a simulated upstream.
type Server struct {
	// ID is the server's first ID; after a crash it may have another one.
	ID      string
	Service string
	Zone    string
	Slots   int
	// Software is the version of the software in later entries; empty means "v1".
	Software string

	store   *storesim.Store
	address string
	// registeredAddress is the address in the store, which differs from the server's
	// own if requests pass through a proxy.
	registeredAddress string

	inFlight        atomic.Int64
	mu              sync.Mutex
	http            *http.Server // nil while the server is down
	closed          bool
	connections     map[net.Conn]bool // those to which responses are written directly
	crashes         []time.Time
	idSuffix        string // of the ID of the running process
	arrivals        map[string]int
	arrivalTimes    []time.Time
	acceptedTimes   []time.Time // arrivals of requests that were not misdirected
	behaviour       Behaviour
	executions      map[string]int
	lastHeader      http.Header
	canceled        int
	healthRequests  int
	coldPeriods     []coldPeriod
	registrationSeq int
	state           string // as last registered
	slowdown        func(time.Time) int
	room            room
	rejections      int
	recording       bool
	pausedUntil     time.Time
	requests        []*Request
}

// Start starts a server and registers it in the store.
func Start(store *storesim.Store, service, zone, id string) *Server {
	return StartVersion(store, service, zone, id, "")
}

// StartVersion starts a server with a version of the software, which its first entry states, and registers it.
func StartVersion(store *storesim.Store, service, zone, id, software string) *Server {
	return start(store, service, zone, id, software, func(address string) string { return address })
}

// StartWithAddress starts a server and registers the address that via returns for the
// server's own address, for instance that of a proxy in front of it.
func StartWithAddress(store *storesim.Store, service, zone, id string, via func(address string) string) *Server {
	return start(store, service, zone, id, "", via)
}

func start(store *storesim.Store, service, zone, id, software string, via func(address string) string) *Server {
	s := &Server{ID: id, Service: service, Zone: zone, Slots: 8, Software: software, store: store, executions: make(map[string]int), arrivals: make(map[string]int), connections: make(map[net.Conn]bool)}
	if err := s.listen("127.0.0.1:0"); err != nil {
		panic(err) // a free port of the loopback interface can always be opened
	}
	s.registeredAddress = via(s.Address())
	s.Register("ready")
	return s
}

// listen serves at an address.
func (s *Server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return listener.Close()
	}
	server := &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	s.address, s.http = listener.Addr().String(), server
	go func() { _ = server.Serve(pausingListener{listener, s}) }() // it returns once the server crashes or stops
	return nil
}

// Address returns the server's own address as host:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Register writes the server's entry with the given state to the store.
func (s *Server) Register(state string) {
	s.mu.Lock()
	s.registrationSeq++
	s.state = state
	registrationSeq := s.registrationSeq
	id, born := s.currentID(), 1+len(s.crashes)
	cold := max(0, s.coldRemaining(time.Now()))
	s.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"service": s.Service, "address": s.registeredAddress, "zone": s.Zone, "version": cmp.Or(s.Software, "v1"), "slots": s.Slots,
		"state": state, "cold_remaining_ms": cold.Milliseconds(), "seq": registrationSeq, "born": born,
	})
	if err != nil {
		panic(err) // a map of plain values can always be encoded
	}
	s.store.Put("servers/"+id, entry)
}

// RegisterAgain writes the entry with the last state again, as a server does when the store
// came back from an older copy.
func (s *Server) RegisterAgain() {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	s.Register(state)
}

// currentID returns the ID of the running process. The caller must hold s.mu.
func (s *Server) currentID() string {
	return s.ID + s.idSuffix
}

// Deregister removes the server's entry from the store. The server keeps serving.
func (s *Server) Deregister() {
	s.mu.Lock()
	id := s.currentID()
	s.mu.Unlock()
	s.store.Delete("servers/" + id)
}

// Close stops the server.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	server := s.http
	s.http = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close() // the connections are no longer needed
	}
	s.closeDirect()
}

// StopAccepting closes the listener and idle connections; the server finishes what it runs.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	if server != nil {
		go func() { _ = server.Shutdown(context.Background()) }() // it waits for the requests that run
	}
}

// crash closes the listener and all connections. The entry remains until the server runs
// again.
func (s *Server) crash(b Behaviour) {
	s.mu.Lock()
	server, id := s.http, s.currentID()
	if server == nil {
		s.mu.Unlock()
		return
	}
	s.http = nil
	s.crashes = append(s.crashes, time.Now())
	if !b.KeepID {
		s.idSuffix = fmt.Sprint("-", len(s.crashes))
	}
	s.mu.Unlock()
	_ = server.Close() // the connections are lost in any case
	s.closeDirect()
	if b.RestartAfter == 0 {
		return
	}
	time.AfterFunc(b.RestartAfter, func() {
		s.mu.Lock()
		s.turnCold(time.Now(), b.ColdStart)
		s.mu.Unlock()
		for s.listen(s.Address()) != nil { // another process may have the port for a moment
			time.Sleep(restartRetryInterval)
		}
		if b.RegisterAfter < 0 {
			return
		}
		time.AfterFunc(b.RegisterAfter, func() {
			s.store.Delete("servers/" + id)
			s.Register("ready")
		})
	})
}

// restartRetryInterval is the time between two attempts to open the address again.
const restartRetryInterval = 50 * time.Millisecond

// Crashes returns when the server crashed.
func (s *Server) Crashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

// Running reports whether the server accepts connections.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http != nil
}

// Arrivals returns the number of requests, by request ID, that reached the server,
// whether it executed them or not.
func (s *Server) Arrivals() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.arrivals)
}

// SetBehaviour replaces the behaviour.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// SetSlowdown makes the server state in X-Server-Load how long work takes at a time, in hundredths
// of the usual duration, and take that long. The function must be safe for concurrent use.
func (s *Server) SetSlowdown(percent func(time.Time) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = percent
}

// loadAt returns the value of X-Server-Load at a time.
func (s *Server) loadAt(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	running, waiting := 1, 0
	if s.behaviour.Brittle > 0 {
		running, waiting = s.room.running, len(s.room.queue)
	}
	text := fmt.Sprintf("%d,%d,%d", running, waiting, s.Slots)
	if s.slowdown != nil {
		text += fmt.Sprintf(",%d", s.slowdown(now))
	}
	return text
}

// Request is a request that reached a server.
type Request struct {
	At       time.Time
	Target   string
	Header   http.Header
	Executed bool
}

// RecordRequests makes the server keep all requests that reach it from now on.
func (s *Server) RecordRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recording = true
}

// Requests returns the recorded requests in the order of their arrival.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := make([]Request, 0, len(s.requests))
	for _, r := range s.requests {
		requests = append(requests, *r)
	}
	return requests
}

// Executions returns the number of executions by request ID.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// LastHeader returns the header of the most recent request.
func (s *Server) LastHeader() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastHeader
}

// InFlight returns the number of requests that the server works on.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Canceled returns the number of requests whose client disconnected before the
// response was complete.
func (s *Server) Canceled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// MaxArrivals returns the highest number of requests that reached the server in any window of
// the given length after a time.
func (s *Server) MaxArrivals(after time.Time, window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest, first := 0, 0
	for i, at := range s.arrivalTimes {
		for s.arrivalTimes[first].Before(after) && first < i || at.Sub(s.arrivalTimes[first]) > window {
			first++
		}
		if !at.Before(after) {
			highest = max(highest, i-first+1)
		}
	}
	return highest
}

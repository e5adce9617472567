package storesim

import (
	"io"
	"net"
	"net/http"
	"time"
)

// Faults are the injected faults of a store. The zero value injects none.
type Faults struct {
	// RejectStatus is the HTTP status with which all calls are rejected; zero rejects
	// none.
	RejectStatus int
	// RejectClients, if not nil, limits RejectStatus to the client hosts for which it
	// returns true.
	RejectClients func(host string) bool
	// Unresponsive accepts calls and never responds.
	Unresponsive bool
	// Delay is the added latency of each call.
	Delay time.Duration
	// DropResponses executes calls and then resets the connection instead of
	// responding.
	DropResponses bool
	// LateWrites, if not zero, executes transactions that long after their call, which gets no
	// response.
	LateWrites time.Duration
	// HangWatches makes watches return no changes and never end by themselves.
	HangWatches bool
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

func (s *Store) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// apply applies the faults that act before a call is executed. It returns false if
// the call must not be executed.
func (f Faults) apply(w http.ResponseWriter, r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	switch {
	case f.Unresponsive:
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnected client only after the body was read
		<-r.Context().Done()
		return false
	case f.RejectStatus != 0 && (f.RejectClients == nil || f.RejectClients(host)):
		w.WriteHeader(f.RejectStatus)
		return false
	}
	select {
	case <-time.After(f.Delay):
	case <-r.Context().Done():
	}
	return true
}

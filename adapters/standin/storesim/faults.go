package storesim

import (
	"io"
	"net"
	"net/http"
	"time"
)

// Faults are the injected faults of a store. The zero value injects none.
type Faults struct {
	// Refuse is the HTTP status with which all calls are rejected; zero rejects none.
	Refuse int
	// RefuseFrom, if not nil, limits Refuse to the client hosts for which it returns
	// true.
	RefuseFrom func(remote string) bool
	// Silent accepts calls and never responds.
	Silent bool
	// Delay is the added latency of each call.
	Delay time.Duration
	// LoseAnswers executes calls and then resets the connection instead of
	// responding.
	LoseAnswers bool
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
	case f.Silent:
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnected client only after the body was read
		<-r.Context().Done()
		return false
	case f.Refuse != 0 && (f.RefuseFrom == nil || f.RefuseFrom(host)):
		w.WriteHeader(f.Refuse)
		return false
	}
	select {
	case <-time.After(f.Delay):
	case <-r.Context().Done():
	}
	return true
}

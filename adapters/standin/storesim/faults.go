package storesim

import (
	"io"
	"net"
	"net/http"
	"time"
)

// Faults are what is wrong with the store. The zero value is a sound store.
type Faults struct {
	// Refuse answers this status to all calls; zero refuses none.
	Refuse int
	// RefuseFrom limits Refuse to callers for whom it returns true.
	RefuseFrom func(remote string) bool
	// Silent leaves calls without an answer.
	Silent bool
	// Delay is added to each answer.
	Delay time.Duration
	// LoseAnswers performs calls and then resets the connection.
	LoseAnswers bool
	// HangWatches leaves watches without any change until they are cut.
	HangWatches bool
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

func (s *Store) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// before plays the faults that come before a call; it returns false if the call
// ends there.
func (f Faults) before(w http.ResponseWriter, r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	switch {
	case f.Silent:
		_, _ = io.Copy(io.Discard, r.Body) // only then the server sees that the caller left
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

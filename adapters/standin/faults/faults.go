// Package faults switches the failures of upstream stand-ins at run time, from
// code or by an HTTP request.
package faults

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Path takes a POST of a JSON array of Fault, which replaces all in force.
const Path = "/faults"

// Mode is a way to fail.
type Mode string

// The ways to fail. Engines know Die, Silent, Refuse, Leave and Slow; plain
// services all but Die.
const (
	// Die closes the connection in mid-answer, after AfterEvents events.
	Die Mode = "die"
	// Silent stops sending after AfterEvents events and leaves the connection
	// open; a plain service reads the request and does not run it.
	Silent Mode = "silent"
	// SilentAfterRun runs the request and sends nothing.
	SilentAfterRun Mode = "silent_after_run"
	// Refuse answers 503 without running the request.
	Refuse Mode = "refuse"
	// Leave reports the upstream as leaving; it still runs what it gets.
	Leave Mode = "leave"
	// Slow delays by Delay: each event of an engine, each request of a service.
	Slow Mode = "slow"
	// CloseBeforeRun reads the request and closes the connection.
	CloseBeforeRun Mode = "close_before_run"
	// CloseAfterRun runs the request and closes the connection.
	CloseAfterRun Mode = "close_after_run"
)

// Fault is one fault in force.
type Fault struct {
	Mode Mode `json:"mode" yaml:"mode"`
	// AfterEvents is for Die and Silent.
	AfterEvents uint64 `json:"after_events,omitempty" yaml:"after_events,omitempty"`
	// Delay is for Slow.
	Delay time.Duration `json:"delay_ns,omitempty" yaml:"delay,omitempty"`
	// Times ends the fault after so many requests; zero means until changed.
	Times int `json:"times,omitempty" yaml:"times,omitempty"`
}

// Effects are the faults that hit one request.
type Effects []Fault

// Find returns the fault of a mode, if it hits.
func (e Effects) Find(m Mode) (Fault, bool) {
	for _, f := range e {
		if f.Mode == m {
			return f, true
		}
	}
	return Fault{}, false
}

// Set holds the faults in force. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	faults []Fault
}

// Replace sets the faults in force; none heals the upstream.
func (s *Set) Replace(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = slices.Clone(faults)
}

// Has reports whether a fault of mode m is in force.
func (s *Set) Has(m Mode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := Effects(s.faults).Find(m)
	return ok
}

// Take returns the faults that hit the next request, and uses them up.
func (s *Set) Take() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return nil
	}
	hit := Effects(slices.Clone(s.faults))
	left := s.faults[:0]
	for _, f := range s.faults {
		if f.Times == 1 {
			continue
		}
		if f.Times > 1 {
			f.Times--
		}
		left = append(left, f)
	}
	s.faults = left
	return hit
}

// ServeHTTP replaces the faults by those of the request.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var faults []Fault
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Replace(faults...)
}

// Hang leaves a request without an answer until its connection ends.
func Hang(r *http.Request) {
	<-r.Context().Done()
	Abort()
}

// Abort closes the connection of the request being served.
func Abort() { panic(http.ErrAbortHandler) }

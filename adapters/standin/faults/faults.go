// Package faults injects failures into simulated upstreams at run time, from code
// or by an HTTP request.
package faults

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Path accepts a POST of a JSON array of Fault, which replaces all injected faults.
const Path = "/faults"

// Mode is a failure mode.
type Mode string

// The failure modes. Engines support CloseMidResponse, Unresponsive, Reject,
// ReportLeaving and Slow; plain services support all modes except
// CloseMidResponse.
const (
	// CloseMidResponse closes the connection in the middle of a response, after
	// AfterEvents events.
	CloseMidResponse Mode = "die"
	// Unresponsive stops sending after AfterEvents events and leaves the connection
	// open. A plain service reads the request and does not execute it.
	Unresponsive Mode = "silent"
	// UnresponsiveAfterRun executes the request and never sends a response.
	UnresponsiveAfterRun Mode = "silent_after_run"
	// Reject responds with status 503 without executing the request.
	Reject Mode = "refuse"
	// ReportLeaving reports the upstream as leaving; it still executes the requests
	// that it receives.
	ReportLeaving Mode = "leave"
	// Slow adds Delay to each event of an engine or to each request of a plain
	// service.
	Slow Mode = "slow"
	// CloseBeforeRun reads the request and closes the connection without executing it.
	CloseBeforeRun Mode = "close_before_run"
	// CloseAfterRun executes the request and closes the connection without a response.
	CloseAfterRun Mode = "close_after_run"
)

// Fault is an injected fault.
type Fault struct {
	Mode Mode `json:"mode" yaml:"mode"`
	// AfterEvents is the number of events sent before CloseMidResponse and
	// Unresponsive take effect.
	AfterEvents uint64 `json:"after_events,omitempty" yaml:"after_events,omitempty"`
	// Delay is the added latency of mode Slow.
	Delay time.Duration `json:"delay_ns,omitempty" yaml:"delay,omitempty"`
	// MaxRequests is the number of requests after which the fault is removed; zero means
	// that it stays until the faults are replaced.
	MaxRequests int `json:"times,omitempty" yaml:"times,omitempty"`
}

// Effects are the faults that apply to one request.
type Effects []Fault

// Find returns the fault of a mode, if one applies.
func (e Effects) Find(m Mode) (Fault, bool) {
	for _, f := range e {
		if f.Mode == m {
			return f, true
		}
	}
	return Fault{}, false
}

// Set holds the injected faults. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	faults []Fault
}

// Replace replaces the injected faults; without arguments it removes them all.
func (s *Set) Replace(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = slices.Clone(faults)
}

// Has reports whether a fault of mode m is injected.
func (s *Set) Has(m Mode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := Effects(s.faults).Find(m)
	return ok
}

// Take returns the faults that apply to the next request. It removes faults whose
// MaxRequests is used up.
func (s *Set) Take() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return nil
	}
	matched := Effects(slices.Clone(s.faults))
	remaining := s.faults[:0]
	for _, f := range s.faults {
		if f.MaxRequests == 1 {
			continue
		}
		if f.MaxRequests > 1 {
			f.MaxRequests--
		}
		remaining = append(remaining, f)
	}
	s.faults = remaining
	return matched
}

// ServeHTTP replaces the injected faults by those in the request body.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var faults []Fault
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Replace(faults...)
}

// Hang sends no response until the client disconnects, and then aborts.
func Hang(r *http.Request) {
	<-r.Context().Done()
	Abort()
}

// Abort closes the connection of the request being served. It must be called in
// the goroutine of the handler.
func Abort() { panic(http.ErrAbortHandler) }

package routedsim

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// healthPath is the path of health requests.
const healthPath = "/healthz"

// coldPeriod is a period in which the server is cold.
type coldPeriod struct{ from, until time.Time }

// TurnCold makes the server cold for a time, without a change of its entry.
func (s *Server) TurnCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnCold(time.Now(), d)
}

// turnCold begins a cold period. The caller must hold s.mu.
func (s *Server) turnCold(now time.Time, d time.Duration) {
	if d > 0 {
		s.coldPeriods = append(s.coldPeriods, coldPeriod{now, now.Add(d)})
	}
}

// coldRemaining returns for how long the server remains cold; zero if it is not cold. The caller
// must hold s.mu.
func (s *Server) coldRemaining(now time.Time) time.Duration {
	remaining := time.Duration(0)
	for _, p := range s.coldPeriods {
		remaining = max(remaining, p.until.Sub(now))
	}
	return remaining
}

// MaxColdArrivals returns the highest number of requests that reached the server within one
// second while it was cold, from a time after the beginning of each cold period. Health
// requests count, misdirected ones do not.
func (s *Server) MaxColdArrivals(after time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := 0
	for _, p := range s.coldPeriods {
		times := slices.DeleteFunc(slices.Clone(s.acceptedTimes), func(at time.Time) bool { return at.Before(p.from.Add(after)) || at.After(p.until) })
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			highest = max(highest, i-first+1)
		}
	}
	return highest
}

// serveHealth answers a health request.
func (s *Server) serveHealth(w http.ResponseWriter) {
	s.mu.Lock()
	now := time.Now()
	s.healthRequests++
	s.acceptedTimes = append(s.acceptedTimes, now)
	instance, cold, b := s.currentID(), s.coldRemaining(now), s.behaviour
	s.mu.Unlock()
	s.setBrittle(w.Header(), b)
	w.Header().Set("X-Instance-Id", instance)
	if s.statesSlowdown() {
		w.Header().Set("X-Server-Load", s.loadAt(now))
	}
	if cold > 0 {
		w.Header().Set("X-Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
	}
	if b.Leaving {
		w.Header().Set("Server-Leaving", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// statesSlowdown reports whether the server states how long work takes.
func (s *Server) statesSlowdown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowdown != nil
}

// HealthRequests returns the number of health requests.
func (s *Server) HealthRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthRequests
}

// Crash crashes the server. It runs again as b says of a restart.
func (s *Server) Crash(b Behaviour) { s.crash(b) }

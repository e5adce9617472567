package routedsim

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		s.serveHealth(w)
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	b := s.behaviour
	s.lastHeader = r.Header.Clone()
	if s.slowdown != nil {
		b.ProcessingTime = b.ProcessingTime * time.Duration(s.slowdown(time.Now())) / 100
	}
	instance := s.currentID()
	s.arrivals[id]++
	s.arrivalTimes = append(s.arrivalTimes, time.Now())
	record := &Request{At: time.Now(), Target: r.RequestURI, Header: s.lastHeader}
	if s.recording {
		s.requests = append(s.requests, record)
	}
	s.mu.Unlock()
	if b.RateLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(b.RateLimit, 'f', -1, 64))
	}
	s.setBrittle(w.Header(), b)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != instance {
		w.Header().Set("X-Instance-Id", instance)
		w.Header().Set("X-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.acceptedTimes = append(s.acceptedTimes, time.Now())
	s.mu.Unlock()
	if b.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if b.RejectAll {
		rejectNotRun(w, r, b)
		return
	}
	if b.Brittle > 0 {
		if !s.enter(w, r, b) {
			return
		}
		defer s.leave()
	}
	deadline := timeLeft(r, b)
	if !s.sleep(r, min(b.QueueTime, deadline)) {
		return
	}
	if b.QueueTime > deadline {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Request-Id", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	deadline -= b.QueueTime
	s.mu.Lock()
	s.executions[id]++
	record.Executed = true
	s.mu.Unlock()
	if !s.sleep(r, min(b.ProcessingTime, deadline)) {
		return
	}
	if b.ProcessingTime > deadline {
		w.Header().Set("X-Request-Id", id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if b.DropResponses {
		panic(http.ErrAbortHandler)
	}
	if hasPart(r, b.CrashPart) || b.CrashTarget != "" && r.RequestURI == b.CrashTarget {
		s.crash(b)
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("X-Request-Id", id)
	header.Set("X-Response-Seal", "seal-"+id)
	if !b.NoLoad {
		header.Set("X-Server-Load", s.loadAt(time.Now()))
	}
	if b.Events > 0 && !neverStreams(r.URL.Path) {
		s.stream(w, r, b)
		return
	}
	text := fmt.Sprintf("%s %s %d", s.ID, r.RequestURI, len(body))
	if b.direct() {
		s.writeDirect(w, b, []string{text})
		return
	}
	w.WriteHeader(max(http.StatusOK, b.Status))
	_, _ = io.WriteString(w, text) // the client may have disconnected
}

// timeLeft returns the time until the deadline that a request arrived with, if the server
// keeps it.
func timeLeft(r *http.Request, b Behaviour) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Request-Deadline-Ms"), 64)
	if err != nil || !b.KeepsDeadlines {
		return math.MaxInt64
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// hasPart reports whether the prompt of a request has a part. The last part does not
// count: it belongs to the request itself.
func hasPart(r *http.Request, part string) bool {
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	return part != "" && slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool {
		id, _, _ := strings.Cut(p, ":")
		return id == part
	})
}

// neverStreams reports whether a path belongs to a call, whose response is a plain
// body even if the server is configured to stream.
func neverStreams(path string) bool {
	for _, prefix := range []string{"/safe/", "/call/", "/home/", "/cold/"} {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// sleep waits for d. It counts the request as canceled and returns false if the
// client disconnects first.
func (s *Server) sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		s.mu.Lock()
		s.canceled++
		s.mu.Unlock()
		return false
	}
}

package routedsim

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// room is the slots of a brittle server and its queue for them.
type room struct {
	running int
	queue   []chan struct{} // closed when the slot is passed on
	// rejected holds when requests were rejected for want of room, those of the last second only.
	rejected []time.Time
}

// enter takes a slot, waits for one, or rejects the request. The slot must be returned by leave if it
// returns true.
func (s *Server) enter(w http.ResponseWriter, r *http.Request, b Behaviour) bool {
	s.mu.Lock()
	if s.room.running < s.Slots {
		s.room.running++
		s.mu.Unlock()
		return true
	}
	if len(s.room.queue) >= b.MaxWaiting {
		falls := s.recordRejection(time.Now(), b)
		s.mu.Unlock()
		if falls {
			s.crash(b)
			panic(http.ErrAbortHandler)
		}
		rejectNotRun(w, r, b)
		return false
	}
	turn := make(chan struct{})
	s.room.queue = append(s.room.queue, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-r.Context().Done():
	}
	s.mu.Lock()
	i := slices.Index(s.room.queue, turn)
	if i >= 0 {
		s.room.queue = slices.Delete(s.room.queue, i, i+1)
	}
	s.canceled++
	s.mu.Unlock()
	if i < 0 { // the slot was passed on at the same moment
		s.leave()
	}
	return false
}

// leave returns a slot.
func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.room.queue) == 0 {
		s.room.running--
		return
	}
	close(s.room.queue[0])
	s.room.queue = s.room.queue[1:]
}

// recordRejection reports whether a rejection is one more in a second than the server bears. The caller
// must hold s.mu.
func (s *Server) recordRejection(now time.Time, b Behaviour) bool {
	s.room.rejected = slices.DeleteFunc(s.room.rejected, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	s.room.rejected = append(s.room.rejected, now)
	s.rejections++
	return len(s.room.rejected) > b.Brittle
}

func rejectNotRun(w http.ResponseWriter, r *http.Request, b Behaviour) {
	if b.RetryAfter != "" {
		w.Header().Set("Retry-After", b.RetryAfter)
	}
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setBrittle sets the headers of a brittle server.
func (s *Server) setBrittle(h http.Header, b Behaviour) {
	if b.Brittle <= 0 {
		return
	}
	h.Set("Server-Brittle", strconv.Itoa(b.Brittle))
	if !b.NoLoad {
		h.Set("X-Server-Load", s.loadAt(time.Now()))
	}
}

// Rejections returns the number of requests that the server rejected for want of room while it was
// brittle.
func (s *Server) Rejections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejections
}

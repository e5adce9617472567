package routedsim

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// stream sends the events that follow the Last-Event-Id of the request, or all
// events without one.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, b Behaviour) {
	if !b.NoContentType {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	firstEvent := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		firstEvent = n + 1
	}
	if b.direct() {
		s.writeDirect(w, b, events(firstEvent, b))
		return
	}
	controller := http.NewResponseController(w)
	for n := firstEvent; n <= b.Events; n++ {
		if n == b.CloseInsideEvent {
			_, _ = io.WriteString(w, partialEvent(n)) // the client may have disconnected
			return
		}
		if b.CloseAfterEvents > 0 && n > b.CloseAfterEvents {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event(n)); err != nil || controller.Flush() != nil {
			return
		}
		if !s.sleep(r, b.EventGap) {
			return
		}
	}
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n) }

func partialEvent(n int) string { return fmt.Sprintf("id: %d\ndata: ev", n) }

// events returns the events of a response, up to the one inside which it is closed.
func events(first int, b Behaviour) []string {
	var all []string
	for n := first; n <= b.Events; n++ {
		if n == b.CloseInsideEvent {
			return append(all, partialEvent(n))
		}
		all = append(all, event(n))
	}
	return all
}

// WithEvents returns a copy of the behaviour with the given number of events for
// streaming responses.
func (b Behaviour) WithEvents(events int) Behaviour {
	b.Events = events
	return b
}

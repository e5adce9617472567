package storesim

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// pageSize is the number of items in one page of a range.
const pageSize = 50

// Handler serves the store's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serve("key", s.serveKey))
	mux.HandleFunc("GET /api/kv-range", s.serve("range", s.serveRange))
	mux.HandleFunc("GET /api/kv-watch", s.serve("watch", s.serveWatch))
	mux.HandleFunc("POST /api/kv-txn", s.serve("txn", s.serveTxn))
	mux.HandleFunc("POST /api/kv-lease", s.serve("lease", s.serveLease))
	mux.HandleFunc("POST /api/kv-keep/{id}", s.serve("keep", s.serveKeep))
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.serve("lease-end", s.serveLeaseEnd))
	return mux
}

// answer is a status and a body.
type answer struct {
	status int
	body   any
}

func (s *Store) serve(name string, call func(r *http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[name]++
		s.mu.Unlock()
		f := s.currentFaults()
		if !f.before(w, r) {
			return
		}
		a := call(r)
		if f.LoseAnswers {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		if a.body != nil {
			_ = json.NewEncoder(w).Encode(a.body) // the caller may have left
		}
	}
}

func (s *Store) serveKey(r *http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"current_rev"`
	}{i, s.revision}}
}

func (s *Store) serveRange(r *http.Request) answer {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	page := struct {
		Items      []item `json:"items"`
		HasMore    bool   `json:"has_more"`
		CurrentRev uint64 `json:"current_rev"`
	}{Items: []item{}, CurrentRev: s.revision}
	for _, key := range s.keys(q.Get("path_prefix")) {
		if key <= q.Get("after") {
			continue
		}
		if len(page.Items) == pageSize {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	return answer{http.StatusOK, page}
}

func (s *Store) serveWatch(r *http.Request) answer {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	if errAfter != nil || errWait != nil {
		return answer{status: http.StatusBadRequest}
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		a, changed := s.changesAfter(q.Get("path_prefix"), after)
		if a != nil {
			return *a
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if s.currentFaults().HangWatches {
				<-r.Context().Done()
			}
			return s.noChanges()
		}
	}
}

type watchBody struct {
	Events     []item `json:"events"`
	CurrentRev uint64 `json:"current_rev"`
}

func (s *Store) noChanges() answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return answer{http.StatusOK, watchBody{[]item{}, s.revision}}
}

// changesAfter returns an answer if there is one yet, and what to wait for.
func (s *Store) changesAfter(prefix string, after uint64) (*answer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.faults.HangWatches {
		return nil, make(chan struct{})
	}
	if after < s.forgotten {
		return &answer{status: http.StatusGone}, nil
	}
	body := watchBody{CurrentRev: s.revision}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			body.Events = append(body.Events, i)
		}
	}
	if len(body.Events) == 0 {
		return nil, s.changed
	}
	return &answer{http.StatusOK, body}, nil
}

type txnBody struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Drop []string `json:"drop"`
}

func (s *Store) serveTxn(r *http.Request) answer {
	var t txnBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return answer{status: http.StatusBadRequest}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return answer{status: http.StatusPreconditionFailed}
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return answer{status: http.StatusForbidden}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return answer{status: http.StatusNotFound}
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Drop {
		s.remove(key)
	}
	return answer{http.StatusOK, map[string]uint64{"revision": s.revision}}
}

func (s *Store) serveLease(r *http.Request) answer {
	var in struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTLMS <= 0 {
		return answer{status: http.StatusBadRequest}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(in.TTLMS) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]bool)}
	return answer{http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": in.TTLMS}}
}

func (s *Store) serveKeep(r *http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[leaseID(r)]
	if l == nil {
		return answer{status: http.StatusNotFound}
	}
	l.expires = time.Now().Add(l.ttl)
	return answer{http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}}
}

func (s *Store) serveLeaseEnd(r *http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(leaseID(r))
	return answer{status: http.StatusOK}
}

// leaseID returns zero, which no lease has, for a path that names none.
func leaseID(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

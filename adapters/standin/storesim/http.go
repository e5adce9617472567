package storesim

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// pageSize is the maximum number of entries in one page of a range response.
const pageSize = 50

// Handler serves the store's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.handle("key", s.serveKey))
	mux.HandleFunc("GET /api/kv-range", s.handle("range", s.serveRange))
	mux.HandleFunc("GET /api/kv-watch", s.handle("watch", s.serveWatch))
	mux.HandleFunc("POST /api/kv-txn", s.handle("txn", s.serveTxn))
	mux.HandleFunc("POST /api/kv-lease", s.handle("lease", s.serveLease))
	mux.HandleFunc("POST /api/kv-keep/{id}", s.handle("keep", s.serveKeep))
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.handle("lease-end", s.serveLeaseEnd))
	return mux
}

// response is an HTTP status and a body, which is encoded as JSON unless it is nil.
type response struct {
	status int
	body   any
}

func (s *Store) handle(name string, handler func(r *http.Request) response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.callCounts[name]++
		s.mu.Unlock()
		f := s.currentFaults()
		if !f.apply(w, r) {
			return
		}
		if name == "txn" && f.LateWrites > 0 {
			s.executeLate(r, f.LateWrites)
			panic(http.ErrAbortHandler)
		}
		era := s.currentEra()
		resp := handler(r)
		for now := s.currentEra(); r.Method == http.MethodGet && now != era; now = s.currentEra() {
			era, resp = now, handler(r) // restored meanwhile: the response belongs to neither era
		}
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		if f.DropResponses {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(resp.status)
		if resp.body != nil {
			_ = json.NewEncoder(w).Encode(resp.body) // the client may have disconnected
		}
	}
}

// executeLate executes a transaction after a delay.
func (s *Store) executeLate(r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := &http.Request{Body: io.NopCloser(bytes.NewReader(body))}
	time.AfterFunc(delay, func() { s.serveTxn(late) })
}

func (s *Store) serveKey(r *http.Request) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	e, ok := s.entries[r.URL.Query().Get("key")]
	if !ok {
		return response{status: http.StatusNotFound}
	}
	return response{http.StatusOK, struct {
		entry
		CurrentRev uint64 `json:"current_rev"`
	}{e, s.revision}}
}

func (s *Store) serveRange(r *http.Request) response {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	page := struct {
		Items      []entry `json:"items"`
		HasMore    bool    `json:"has_more"`
		CurrentRev uint64  `json:"current_rev"`
	}{Items: []entry{}, CurrentRev: s.revision}
	for _, key := range s.keys(q.Get("path_prefix")) {
		if key <= q.Get("after") {
			continue
		}
		if len(page.Items) == pageSize {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.entries[key])
	}
	return response{http.StatusOK, page}
}

func (s *Store) serveWatch(r *http.Request) response {
	q := r.URL.Query()
	after, afterErr := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if afterErr != nil || waitErr != nil {
		return response{status: http.StatusBadRequest}
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	s.countWatch(q.Get("path_prefix"), 1)
	defer s.countWatch(q.Get("path_prefix"), -1)
	for {
		resp, changed := s.changesSince(q.Get("path_prefix"), after)
		if resp != nil {
			return *resp
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if s.currentFaults().HangWatches {
				<-r.Context().Done()
			}
			return s.emptyWatchResponse()
		}
	}
}

type watchResponse struct {
	Events     []entry `json:"events"`
	CurrentRev uint64  `json:"current_rev"`
}

func (s *Store) emptyWatchResponse() response {
	s.mu.Lock()
	defer s.mu.Unlock()
	return response{http.StatusOK, watchResponse{[]entry{}, s.revision}}
}

// changesSince returns the response to a watch if there are changes after the given
// revision. Otherwise it returns nil and a channel that is closed on the next
// change.
func (s *Store) changesSince(prefix string, after uint64) (*response, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.faults.HangWatches {
		return nil, make(chan struct{})
	}
	if after < s.compactedRevision || after > s.revision {
		return &response{status: http.StatusGone}, nil
	}
	body := watchResponse{CurrentRev: s.revision}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			body.Events = append(body.Events, e)
		}
	}
	if len(body.Events) == 0 {
		return nil, s.changed
	}
	return &response{http.StatusOK, body}, nil
}

type txnRequest struct {
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

func (s *Store) serveTxn(r *http.Request) response {
	var t txnRequest
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return response{status: http.StatusBadRequest}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, expected := range t.Expected {
		if s.entries[expected.Key].Revision != expected.Revision {
			return response{status: http.StatusPreconditionFailed}
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return response{status: http.StatusForbidden}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return response{status: http.StatusNotFound}
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Drop {
		s.remove(key)
	}
	return response{http.StatusOK, map[string]uint64{"revision": s.revision}}
}

func (s *Store) serveLease(r *http.Request) response {
	var in struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTLMS <= 0 {
		return response{status: http.StatusBadRequest}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	ttl := time.Duration(in.TTLMS) * time.Millisecond
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl), keys: make(map[string]bool)}
	return response{http.StatusOK, map[string]any{"lease": s.lastLeaseID, "ttl_ms": in.TTLMS}}
}

func (s *Store) serveKeep(r *http.Request) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[leaseID(r)]
	if l == nil {
		return response{status: http.StatusNotFound}
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return response{http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}}
}

func (s *Store) serveLeaseEnd(r *http.Request) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(leaseID(r))
	return response{status: http.StatusOK}
}

// leaseID returns the lease ID in the path of a request, or zero, which is never a
// valid lease ID, if it cannot be parsed.
func leaseID(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which servers write their entries.
const heartbeat = 1200 * time.Millisecond

// upstream is a server: it registers itself, runs requests and says so in the record. After a crash it may
// start again under its ID.
type upstream struct {
	lab           *lab
	id            string
	service, zone string
	// events is the number of events of a stream, gap the time between two of them.
	events int
	gap    time.Duration
	// crashesOn reports whether the server crashes when it begins to answer a request.
	crashesOn func(r *http.Request) bool
	// unframed sends answers with neither a length nor chunks, which end with their connection.
	unframed bool
	// resets reports whether the server resets the connection of a request that it ran, instead of an answer.
	resets func(r *http.Request) bool
	// back is how long after a crash that a request caused the server runs again, under another ID.
	back time.Duration

	mu       sync.Mutex
	address  string
	software string
	born     int64
	seq      int
	starts   int
	http     *http.Server // nil while it is down
	running  atomic.Int64
	// leaving is set once the server has reported that it leaves; all its answers say so.
	leaving atomic.Bool
	// arrivals and reset are the number of requests, and of those whose connection was reset.
	arrivals, reset atomic.Int64
	stopBeat        chan struct{}
}

// run is a request that a server began to work on.
type run struct {
	at                           time.Time
	server, software, id, target string
	resumed                      string
}

// runs holds all of them in order.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

var ran runs

// storeAway is set while the store is away: the writes of servers fail, too.
var storeAway atomic.Bool

func (l *lab) upstream(service, zone, id, software string) *upstream {
	u := &upstream{lab: l, id: id, service: service, zone: zone, software: software, events: 6, gap: 150 * time.Millisecond}
	u.begin("127.0.0.1:0")
	return u
}

// begin starts a process of the server at an address.
func (u *upstream) begin(address string) {
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fail("server %s cannot listen: %v", u.id, err)
	}
	u.mu.Lock()
	u.starts++
	u.address, u.born, u.seq = listener.Addr().String(), time.Now().UnixMilli(), 0
	u.http = &http.Server{Handler: http.HandlerFunc(u.serve)}
	server, software := u.http, u.software
	u.stopBeat = make(chan struct{})
	stop := u.stopBeat
	u.mu.Unlock()
	u.lab.note("server %s of %s starts at %s, software %s", u.id, u.service, u.address, software)
	go func() { _ = server.Serve(listener) }()
	go u.beat(stop)
}

// beat writes the server's entry about every heartbeat.
func (u *upstream) beat(stop chan struct{}) {
	for {
		u.register("ready")
		wait := heartbeat
		if storeAway.Load() {
			wait = 100 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

func (u *upstream) register(state string) {
	if storeAway.Load() {
		return
	}
	u.mu.Lock()
	u.seq++
	text, err := json.Marshal(map[string]any{"service": u.service, "address": u.address, "zone": u.zone, "version": u.software,
		"slots": 24, "state": state, "cold_remaining_ms": 0, "seq": u.seq, "born": u.born})
	id, first, software := u.id, u.seq == 1, u.software
	u.mu.Unlock()
	if err != nil {
		fail("encode an entry: %v", err)
	}
	u.lab.store.Put("servers/"+id, text)
	if first {
		u.lab.note("the entry of server %s, software %s, is in the store", id, software)
	}
}

// crash ends the server's process, and reports whether there was one.
func (u *upstream) crash() (crashed bool) {
	u.mu.Lock()
	server, stop := u.http, u.stopBeat
	u.http = nil
	u.mu.Unlock()
	if server == nil {
		return false
	}
	close(stop)
	u.lab.note("server %s crashes with %d requests", u.id, u.running.Load())
	_ = server.Close()
	return true
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	id, software, process := u.id, u.software, u.born
	up := u.http != nil
	u.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if u.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", id)
		if u.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.arrivals.Add(1)
	running := u.running.Add(1)
	defer u.running.Add(-1)
	last := r.Header.Get("Last-Event-Id")
	ran.add(run{time.Now(), id, software, request, r.RequestURI, last})
	u.lab.log("server %s (software %s, born %d) runs %s, Last-Event-Id %q", id, software, process, request, last)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,24", running))
	w.Header().Set("X-Response-Seal", "seal."+request)
	if u.crashesOn != nil && u.crashesOn(r) {
		time.Sleep(40 * time.Millisecond)
		u.crashAndReturn()
		panic(http.ErrAbortHandler)
	}
	if u.unframed && strings.HasPrefix(r.URL.Path, "/s/") {
		u.writeUnframed(w, request, software)
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/s/") {
		time.Sleep(60 * time.Millisecond)
		if u.resets != nil && u.resets(r) {
			u.reset.Add(1)
			u.lab.log("server %s resets the connection of %s", id, request)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				fail("server %s: %v", u.id, err)
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s %d", id, request, len(body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(last)
	for n := from + 1; n <= u.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(u.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, software); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// writeUnframed sends a whole stream that ends with its connection.
func (u *upstream) writeUnframed(w http.ResponseWriter, request, software string) {
	header := w.Header().Clone()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Connection", "close")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		fail("server %s: %v", u.id, err)
	}
	defer conn.Close()
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&head) // writing to a builder never fails
	head.WriteString("\r\n")
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return
	}
	for n := 1; n <= u.events; n++ {
		time.Sleep(u.gap)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d of %s\n\n", n, n, software); err != nil {
			u.lab.log("server %s: %s is cut off after %d pieces: %v", u.id, request, n-1, err)
			return
		}
	}
	u.lab.log("server %s has answered %s whole, %d pieces", u.id, request, u.events)
	whole.Add(1)
}

// whole is the number of streams that servers have sent to their end.
var whole atomic.Int64

// leave ends the server as planned: it says so in the store, goes on serving for a time, then accepts no more
// connections and ends once nothing runs.
func (u *upstream) leave(serving time.Duration) {
	u.mu.Lock()
	server, stop := u.http, u.stopBeat
	u.mu.Unlock()
	close(stop)
	u.leaving.Store(true)
	u.register("draining")
	u.lab.note("server %s reports draining", u.id)
	time.Sleep(serving)
	u.lab.note("server %s accepts no more connections and finishes its %d requests", u.id, u.running.Load())
	_ = server.Close() // streams have their connections to themselves
	for u.running.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	u.lab.note("server %s has finished and ends", u.id)
	u.lab.store.Delete("servers/" + u.id)
}

// fallen is the number of crashes that requests caused.
var fallen atomic.Int64

// crashAndReturn crashes the server, which is back after some time as another incarnation.
func (u *upstream) crashAndReturn() {
	if !u.crash() {
		return
	}
	fallen.Add(1)
	u.mu.Lock()
	former, address := u.id, u.address
	u.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { u.lab.store.Delete("servers/" + former) })
	time.AfterFunc(u.back, func() {
		u.mu.Lock()
		base, _, _ := strings.Cut(u.id, ".")
		u.id = fmt.Sprintf("%s.%d", base, u.starts+1)
		u.mu.Unlock()
		u.begin(address)
	})
}

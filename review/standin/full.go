package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["full"] = full }

const (
	fullRounds  = 3
	fullStreams = 8
	fullEvents  = 15
	// otherCallers is the number of requests that machines of which this case has no process send to
	// the server: they occupy its other slots and its queue.
	otherCallers = 32
)

// full: a sound server, whose answers end with their connections, has a long queue and resets new
// connections while its streams end. Each stream that it ends must reach its caller as whole.
func full(rec *recorder) (int, error) {
	f, err := newFleet(rec, map[string]string{"nl-west-a": "nl-west"})
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.configure(7, 60,
		route("plan", "/plan/", "streaming", "model", map[string]any{"gap_aim_ms": 400, "timeout_ms": 6000}),
		route("status", "/status/", "safe", "model", nil))
	s, err := f.startServer("nl-west-a", behaviour{ID: "i-1", Service: "model", Slots: 12, Queue: 36, MaxConnections: 60, Unframed: true,
		Work: 50 * time.Millisecond, Events: fullEvents, Gap: 100 * time.Millisecond, BodyBytes: 800, HalfPause: 50 * time.Millisecond})
	if err != nil {
		return 0, err
	}
	nodes, err := f.startNodes("nl-west-a", "nl-west-a")
	if err != nil {
		return 0, err
	}
	lost, whole := 0, 0
	for range fullRounds {
		l, w, err := fullRound(f, nodes[0], s)
		if err != nil {
			return 0, err
		}
		lost, whole = lost+l, whole+w
		if !eventually(15*time.Second, func() bool { return s.running.Load() == 0 }) {
			return 0, fmt.Errorf("the server has not become idle")
		}
		time.Sleep(contactTime) // calm
	}
	rec.log("%d streams whole, %d lost", whole, lost)
	if lost > maxLost {
		return broken, nil
	}
	if !trouble && whole < fullRounds*fullStreams {
		return 0, fmt.Errorf("only %d whole streams", whole)
	}
	return held, nil
}

func fullRound(f *fleet, entry *node, s *server) (lost, whole int, err error) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	clients := make([]*client, fullStreams)
	for i := range clients { // one request on each connection, which is kept
		clients[i] = f.client(entry)
		if r := clients[i].send("/status/1", 4*time.Second, nil); r.err != nil || r.status != 200 {
			return 0, 0, fmt.Errorf("warm-up failed: %v", r)
		}
	}
	time.Sleep(contactTime) // calm
	for _, c := range clients {
		wait.Go(func() {
			r := c.send("/plan/stream/1", 6*time.Second, nil)
			_, ran := s.runs.Load(r.id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err == nil && r.body == streamBody(r.id, fullEvents):
				whole++
			case r.err != nil && r.kept && ran:
				lost++
				f.rec.log("LOST: %s was passed on to a sound server, and its kept connection ended with %v after %d of %d bytes of the answer", r.id, r.err, len(r.body), len(streamBody(r.id, fullEvents)))
			}
		})
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		others := make([]net.Conn, otherCallers)
		for i := range others { // kept connections of other machines
			conn, err := net.Dial("tcp", s.address)
			if err != nil {
				return 0, 0, err
			}
			defer conn.Close()
			others[i] = conn
		}
		for i, conn := range others {
			if _, err := fmt.Fprintf(conn, "POST /plan/stream/2 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: other%d\r\nContent-Length: 0\r\n\r\n", callerHost, i); err != nil {
				return 0, 0, err
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}
	wait.Wait()
	return lost, whole, nil
}

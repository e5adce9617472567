package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hangup"] = hangup }

const (
	hangupRequests = 6
	hangupEvents   = 20
	hangupWork     = 1500 * time.Millisecond
	hangupDelay    = 500 * time.Millisecond
)

// hangup: the settings file of a node changes, with a SIGHUP, shortly after the node got a SIGTERM.
// Requests that it has passed on to a server must get their answers.
func hangup(rec *recorder) (int, error) {
	f, err := newFleet(rec, map[string]string{"nl-west-a": "nl-west"})
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.configure(7, 210,
		route("plan", "/plan/", "streaming", "model", map[string]any{"gap_aim_ms": 400, "timeout_ms": 6000}),
		route("apply", "/apply/", "unsafe", "api", map[string]any{"timeout_ms": 4000}))
	model, err := f.startServer("nl-west-a", behaviour{ID: "i-1", Service: "model", Slots: 24, Work: 50 * time.Millisecond, Events: hangupEvents, Gap: 100 * time.Millisecond})
	if err != nil {
		return 0, err
	}
	api, err := f.startServer("nl-west-a", behaviour{ID: "i-2", Service: "api", Slots: 12, Work: hangupWork, BodyBytes: 800})
	if err != nil {
		return 0, err
	}
	nodes, err := f.startNodes("nl-west-a", "nl-west-a", "nl-west-a")
	if err != nil {
		return 0, err
	}
	time.Sleep(contactTime) // calm
	var wait sync.WaitGroup
	var mu sync.Mutex
	lost, whole := 0, 0
	judge := func(r result, s *server, want string) {
		_, ran := s.runs.Load(r.id)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.err == nil && r.body == want:
			whole++
		case r.err != nil && ran:
			lost++
			rec.log("LOST: %s ran at a sound server, and its connection ended without a complete answer", r.id)
		}
	}
	for range hangupRequests {
		wait.Go(func() {
			r := f.client(nodes[0]).send("/plan/stream/1", 6*time.Second, nil)
			judge(r, model, streamBody(r.id, hangupEvents))
		})
		wait.Go(func() {
			r := f.client(nodes[0]).send("/apply/1", 4*time.Second, []byte("change"))
			judge(r, api, plainBody(r.id, api.BodyBytes))
		})
	}
	time.Sleep(300 * time.Millisecond)
	nodes[0].signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(hangupDelay)
		nodes[0].signal(syscall.SIGHUP)
	}
	wait.Wait()
	state, err := nodes[0].process.Process.Wait()
	rec.log("%s ended: %v, %v", nodes[0].name, state, err)
	rec.log("%d answers whole, %d lost", whole, lost)
	if lost > 0 {
		return broken, nil
	}
	if whole < 2*hangupRequests {
		return 0, fmt.Errorf("only %d whole answers", whole)
	}
	return held, nil
}

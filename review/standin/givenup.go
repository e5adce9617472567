package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["givenup"] = givenUp }

const (
	givenUpRounds  = 3
	givenUpStreams = 84 // of 2.5 s each: about as many as 33 a second, as in the site file, keep running
	givenUpEvents  = 25
	// peerFreeze is shorter than the 3.2 s after which callers give up a stream with an objective of
	// 800 ms and pauses of 400 ms.
	peerFreeze = 2400 * time.Millisecond
)

// givenUp: callers of one region have streams whose home is another region; the node there that
// runs them is frozen for a moment. The streams must come to their end.
func givenUp(rec *recorder) (int, error) {
	f, err := newFleet(rec, map[string]string{"nl-west-a": "nl-west", "nl-oost-a": "nl-oost", "de-west-a": "de-west"})
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.configure(7, 210,
		route("plan", "/plan/", "streaming", "model", map[string]any{"gap_aim_ms": 400, "timeout_ms": 6000, "allowed_regions": []string{"de-west"}}),
		route("status", "/status/", "safe", "model", map[string]any{"allowed_regions": []string{"de-west"}}))
	s, err := f.startServer("de-west-a", behaviour{ID: "i-1", Service: "model", Slots: 96, Work: 50 * time.Millisecond, Events: givenUpEvents, Gap: 100 * time.Millisecond, BodyBytes: 800})
	if err != nil {
		return 0, err
	}
	nodes, err := f.startNodes("de-west-a", "de-west-a", "nl-west-a", "nl-west-a", "nl-west-a", "nl-west-a", "nl-oost-a", "nl-oost-a", "nl-oost-a")
	if err != nil {
		return 0, err
	}
	home, entries := nodes[0], nodes[2:]
	var wait sync.WaitGroup
	var mu sync.Mutex
	lost, whole, kept := 0, 0, 0
	clients := make([]*client, givenUpStreams)
	for i := range clients { // one request on each connection, which is kept
		clients[i] = f.client(entries[i%len(entries)])
		if r := clients[i].send("/status/1", 4*time.Second, nil); r.err != nil || r.status != 200 {
			return 0, fmt.Errorf("warm-up failed: %v", r)
		}
	}
	time.Sleep(contactTime) // calm
	for range givenUpRounds {
		for _, c := range clients {
			wait.Go(func() {
				r := c.send("/plan/stream/1", 6*time.Second, nil)
				_, ran := s.runs.Load(r.id)
				mu.Lock()
				defer mu.Unlock()
				if r.kept {
					kept++
				}
				switch {
				case r.err == nil && r.body == streamBody(r.id, givenUpEvents):
					whole++
				case r.err != nil && r.kept && ran:
					lost++
					rec.log("LOST: %s was passed on to a sound server, and its kept connection ended after %d of %d bytes of the answer", r.id, len(r.body), len(streamBody(r.id, givenUpEvents)))
				}
			})
		}
		if trouble {
			time.Sleep(500 * time.Millisecond)
			home.signal(syscall.SIGSTOP)
			time.Sleep(peerFreeze)
			home.signal(syscall.SIGCONT)
		}
		wait.Wait()
		time.Sleep(contactTime) // calm
	}
	rec.log("%d streams whole, %d lost, %d on kept connections", whole, lost, kept)
	if lost > maxLost {
		return broken, nil
	}
	if !trouble && whole < givenUpRounds*givenUpStreams {
		return 0, fmt.Errorf("only %d whole streams", whole)
	}
	return held, nil
}

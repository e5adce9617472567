package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = silence }

const (
	silenceStreams = 6
	// preempted is how many of them are preempted, the newest ones.
	preempted     = 3
	silenceEvents = 8
	// silencePause is shorter than the time after which callers give up a stream: two seconds,
	// four times the objective (0.6 s) or eight times the longest pause (0.4 s), whichever is
	// longest: 3.2 s.
	silencePause = 2900 * time.Millisecond
	// silenceDeadline is the deadline and the route's timeout.
	silenceDeadline = 4 * time.Second
	// loss_slack_ms
	lossSlack = 200 * time.Millisecond
)

// silence: a node is stopped as planned while streams run on a sound server, which preempts them
// once for a moment. Every stream must come to its end.
func silence(rec *recorder) (int, error) {
	f, err := newFleet(rec, map[string]string{"nl-west-a": "nl-west"})
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.configure(7, 210, route("vraag", "/vraag/", "streaming", "model", map[string]any{
		"gap_aim_ms": 400, "target_latency_ms": 600, "timeout_ms": 4000, "resumable": true, "max_attempts": 2}))
	pause := 0
	if trouble {
		pause = 3
	}
	if _, err := f.startServer("nl-west-a", behaviour{ID: "i-1", Service: "model", Slots: 24, Work: 50 * time.Millisecond,
		Events: silenceEvents, Gap: 100 * time.Millisecond, PauseAfter: pause, PauseFor: silencePause, PauseFrom: silenceStreams - preempted}); err != nil {
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
	for range silenceStreams {
		wait.Go(func() {
			c := f.client(nodes[0])
			sent := time.Now()
			r := c.send("/vraag/stream/1", silenceDeadline, nil)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err == nil && r.body == streamBody(r.id, silenceEvents):
				whole++
			case r.err != nil && time.Since(sent) > lossSlack && r.took < silenceDeadline:
				lost++
				rec.log("LOST: the connection of %s ended after %d of %d bytes of its answer", r.id, len(r.body), len(streamBody(r.id, silenceEvents)))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	nodes[0].signal(syscall.SIGTERM)
	wait.Wait()
	rec.log("%d streams whole, %d lost", whole, lost)
	if lost > 0 {
		return broken, nil
	}
	if whole < silenceStreams {
		return 0, fmt.Errorf("only %d whole streams", whole)
	}
	return held, nil
}

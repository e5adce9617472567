package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["polls"] = polls }

func callRoute(kind string) route {
	return route{"name": "status", "host": host, "path_prefix": "/status/", "kind": kind, "timeout_ms": 8000, "target_latency_ms": 500,
		"priority": 2, "service": "api", "max_attempts": 2, "allowed_regions": []string{}}
}

// polls lets servers reset a part of their connections for some seconds while dashboards ask for the same statuses again
// and again.
func polls(l *lab) bool {
	const (
		dashboards = 20
		failing    = 9 // statuses that can't be read meanwhile, 45 in 100
		calm       = 4 * time.Second
		grey       = 4 * time.Second
		contact    = 5 * time.Second
		after      = 30 * time.Second
	)
	l.configure([]string{"api"}, callRoute("safe"))
	var mu sync.Mutex
	resetting := false
	for i := range 3 {
		u := l.upstream("api", "nl-west-a", fmt.Sprintf("i-%d", i+1), "v1")
		u.resets = func(r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			var status int
			_, err := fmt.Sscanf(r.URL.Path, "/status/%d", &status)
			return resetting && err == nil && status < failing
		}
	}
	l.deploy(zone{"nl-west-a", "nl-west", 3})
	time.Sleep(6 * time.Second)
	start := time.Now()
	if l.trouble {
		set := func(on bool) func() {
			return func() {
				l.note("servers reset the connections of a part of their requests: %v", on)
				mu.Lock()
				defer mu.Unlock()
				resetting = on
			}
		}
		time.AfterFunc(calm, set(true))
		time.AfterFunc(calm+grey, set(false))
	}
	var waiting sync.WaitGroup
	during, later := map[int]int{}, map[int]int{}
	total := 0
	for d := range dashboards {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for i := 0; time.Since(start) < calm+grey+after; i++ {
				for attempt := range 2 { // clients retry safe requests once, but not after a 4xx
					count := during // and shortly after
					if time.Since(start) > calm+grey+contact {
						count = later
					}
					a := l.nodes[(d+i+attempt)%len(l.nodes)].send(context.Background(), l.id("poll"), http.MethodGet, fmt.Sprintf("/status/%d", d), "")
					mu.Lock()
					total++
					count[a.status]++
					mu.Unlock()
					if a.status == http.StatusOK || a.status >= 400 && a.status < 500 {
						break
					}
				}
				time.Sleep(400 * time.Millisecond)
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	waiting.Wait()
	refused := 0
	for status, n := range later {
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			refused += n
		}
	}
	l.note("answers by status: %v; from contact_ms after the servers were sound again: %v", during, later)
	l.note("%d of %d proper requests refused for good with 4xx later than contact_ms after the end; more than %d break DENIED", refused, total, 5+total/500)
	return refused > 5+total/500
}

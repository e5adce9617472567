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
		failing    = 5 // statuses that can't be read meanwhile
		most       = 0.45
		calm       = 4 * time.Second
		grey       = 4 * time.Second
		contact    = 5 * time.Second
		after      = 30 * time.Second
	)
	l.configure([]string{"api"}, callRoute("safe"))
	var mu sync.Mutex
	resetting := false
	arrived, reset := int64(0), int64(0)
	var servers []*upstream
	for i := range 3 {
		u := l.upstream("api", "nl-west-a", fmt.Sprintf("i-%d", i+1), "v1")
		u.resets = func(r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			var status int
			_, err := fmt.Sscanf(r.URL.Path, "/status/%d", &status)
			return resetting && err == nil && status < failing
		}
		servers = append(servers, u)
	}
	l.deploy(zone{"nl-west-a", "nl-west", 3})
	time.Sleep(6 * time.Second)
	start := time.Now()
	if l.trouble {
		set := func(on bool) func() {
			return func() {
				for i, u := range servers {
					if on {
						arrived -= u.arrivals.Load()
						continue
					}
					arrived += u.arrivals.Load()
					reset += u.reset.Load()
					l.note("server %d: %d requests until now, %d connections reset", i+1, u.arrivals.Load(), u.reset.Load())
				}
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
	if arrived > 0 {
		part := float64(reset) / float64(arrived)
		l.note("%.3f of the %d requests that arrived in %v were reset; at most %.2f may be", part, arrived, grey, most)
		if part > most {
			fail("the disruption was larger than the site's")
		}
	}
	l.note("answers by status: %v; from contact_ms after the servers were sound again: %v", during, later)
	l.note("%d of %d proper requests refused for good with 4xx later than contact_ms after the end; more than %d break DENIED", refused, total, 5+total/500)
	return refused > 5+total/500
}

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["ends"] = ends }

// ends stops a node as planned while a server leaves as planned, whose streams end with their connections.
func ends(l *lab) bool {
	once := streamRoute()
	delete(once, "resumable")
	once["max_attempts"] = 2
	l.configure([]string{"llm"}, once)
	var servers []*upstream
	for i := range 4 {
		u := l.upstream("llm", "nl-west-a", fmt.Sprintf("i-%d", i+1), "v1")
		u.unframed, u.events, u.gap = true, 15, 300*time.Millisecond
		servers = append(servers, u)
	}
	l.deploy(zone{"nl-west-a", "nl-west", 2})
	l.await("streams are served", func() bool {
		return l.nodes[0].send(context.Background(), l.id("first"), http.MethodPost, "/s/1", "").status == http.StatusOK
	})
	time.Sleep(2 * time.Second)
	before := whole.Load()
	var waiting sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for range 32 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			a := l.nodes[0].send(context.Background(), l.id("stream"), http.MethodPost, "/s/1", "")
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	if l.trouble {
		go servers[0].leave(3500 * time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		l.note("node %s gets SIGTERM", l.nodes[0].name)
		l.nodes[0].signal(syscall.SIGTERM)
	}
	waiting.Wait()
	time.Sleep(500 * time.Millisecond)
	cut := 0
	for _, a := range answers {
		if a.status == http.StatusOK && (a.err != nil || !strings.Contains(a.body, "piece 15 ")) {
			cut++
			l.note("%s ends without a complete answer: status %d, %d of 15 pieces, %v", a.id, a.status, strings.Count(a.body, "data:"), a.err)
		}
	}
	l.note("servers sent %d of %d streams whole; %d of them ended without a complete answer at the client; any breaks LOST", whole.Load()-before, len(answers), cut)
	return cut > 0
}

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["crashes"] = crashes }

const crashingPart = "bad1"

// crashes kills all machines after a part of prompts has crashed five servers.
func crashes(l *lab) bool {
	once := streamRoute()
	delete(once, "resumable")
	once["max_attempts"] = 1
	l.configure([]string{"llm"}, once)
	zones := []zone{{"nl-west-a", "nl-west", 2}, {"nl-oost-a", "nl-oost", 2}}
	bad := func(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPart+":") }
	var arrived atomic.Int64
	for i := range 8 {
		u := l.upstream("llm", zones[i/4].name, fmt.Sprintf("i-%d", i+1), "v1")
		u.gap, u.back = 100*time.Millisecond, 2*time.Second
		u.crashesOn = func(r *http.Request) bool {
			if bad(r) {
				arrived.Add(1)
			}
			return bad(r)
		}
	}
	l.deploy(zones...)
	sound := func(i int) answer {
		id := l.id("sound")
		return l.nodes[i%4].send(context.Background(), id, http.MethodPost, "/s/1", "", "X-Model", "m", "X-Token-Count", "540,48", "X-Prompt-Prefix", fmt.Sprintf("c0ffee:300,50fa:200,%x:40", 0x10000+l.sent))
	}
	l.await("streams are served", func() bool { return sound(0).status == http.StatusOK })
	poison := func(i int) answer {
		id := l.id("bad")
		return l.nodes[i%4].send(context.Background(), id, http.MethodPost, "/s/1", "", "X-Model", "m", "X-Token-Count", "540,48", "X-Prompt-Prefix", fmt.Sprintf("c0ffee:300,%s:200,%x:40", crashingPart, 0x10000+l.sent))
	}
	time.Sleep(2 * time.Second)
	var broken atomic.Int64 // sound requests that their servers began and did not end
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
				go func() {
					if a := sound(i); a.status == http.StatusOK && a.err != nil || a.status == http.StatusBadGateway {
						broken.Add(1)
					}
				}()
			}
		}
	}()
	for i := 0; fallen.Load() < 5 && i < 20; i++ {
		for j := range 4 {
			go poison(j)
		}
		time.Sleep(600 * time.Millisecond)
	}
	l.note("%d servers have crashed on the part", fallen.Load())
	time.Sleep(2 * time.Second)
	for i := range 8 {
		a := poison(i)
		l.note("a request with the part is answered %d", a.status)
	}
	if l.trouble {
		l.note("all machines are killed")
		for _, n := range l.nodes {
			n.kill()
		}
		time.Sleep(700 * time.Millisecond)
		for _, n := range l.nodes {
			n.launch()
		}
		l.awaitReady()
	}
	back := time.Now()
	// Machines are in touch contact_ms after they run again.
	time.Sleep(5500 * time.Millisecond)
	counted := 0
	brokenBefore := broken.Load()
	for i := 0; time.Since(back) < 78*time.Second; i++ {
		before := arrived.Load()
		a := poison(i)
		if got := arrived.Load() - before; got > 0 {
			counted += int(got)
			l.note("%.1f s after the machines ran again, a request with the part reached a server (%d): answered %d", time.Since(back).Seconds(), counted, a.status)
			time.Sleep(5 * time.Second)
			continue
		}
		time.Sleep(700 * time.Millisecond)
	}
	close(stop)
	time.Sleep(time.Second)
	l.note("%d sound requests were broken off with the servers in that time", broken.Load()-brokenBefore)
	l.note("%d requests with the part reached servers later than contact_ms after the fifth crash; more than 3 break BUDGET", counted)
	return counted > 3
}

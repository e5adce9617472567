package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["denied"] = denied }

// denied sends three requests with a part that crashes servers, and after them sound ones that share their other parts.
func denied(l *lab) bool {
	once := streamRoute()
	delete(once, "resumable")
	once["max_attempts"] = 1
	l.configure([]string{"llm"}, once)
	zones := []zone{{"nl-west-a", "nl-west", 2}, {"nl-oost-a", "nl-oost", 2}}
	for i := range 8 {
		u := l.upstream("llm", zones[i/4].name, fmt.Sprintf("i-%d", i+1), "v1")
		u.gap, u.back = 30*time.Millisecond, 2*time.Second
		u.crashesOn = func(r *http.Request) bool {
			return l.trouble && strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPart+":")
		}
	}
	l.deploy(zones...)
	var mu sync.Mutex
	total, own := 0, 0
	send := func(kind string, i int, parts string) answer {
		mu.Lock()
		own++
		last := 0x10000 + own
		mu.Unlock()
		a := l.nodes[i%len(l.nodes)].send(context.Background(), l.id(kind), http.MethodPost, "/s/1", "", "X-Model", "m", "X-Token-Count", "740,48", "X-Prompt-Prefix", fmt.Sprintf("%s,%x:40", parts, last))
		mu.Lock()
		total++
		mu.Unlock()
		return a
	}
	const first, old, fresh = "c0ffee:300,50fa:200", "01d:200", "f1e5:200"
	l.await("streams are served", func() bool { return send("first", 0, first+","+old).status == http.StatusOK })
	time.Sleep(5 * time.Second)
	count := func(kind, parts string, n int, pause time.Duration) (served, refused int) {
		var waiting sync.WaitGroup
		for i := range n {
			waiting.Add(1)
			go func() {
				defer waiting.Done()
				a := send(kind, i, parts)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.status == http.StatusOK && a.err == nil:
					served++
				case a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429:
					refused++
				}
			}()
			time.Sleep(pause)
		}
		waiting.Wait()
		return served, refused
	}
	served, refused := count("before", first+","+old, 40, 50*time.Millisecond)
	l.note("before: %d of 40 sound requests with the first part are served, %d refused for good", served, refused)
	for i := range 3 {
		a := send("bad", i, fmt.Sprintf("c0ffee:300,%s:200,%s", crashingPart, fresh))
		l.note("request %s with the part that crashes servers is answered %d", a.id, a.status)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(time.Second)
	go func() { // such requests still come
		for i := range 12 {
			send("bad", i, fmt.Sprintf("c0ffee:300,%s:200,%s", crashingPart, fresh))
			time.Sleep(2 * time.Second)
		}
	}()
	served, refused = count("sound", first+","+fresh, 100, 250*time.Millisecond)
	allowed := 5 + total/500
	l.note("after: %d of 100 sound requests with the same first part, which share the other parts, are served, %d are refused for good with 4xx", served, refused)
	l.note("%d of %d requests refused for good; more than %d break DENIED", refused, total, allowed)
	return refused > allowed
}

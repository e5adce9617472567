package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

func init() { cases["versions"] = versions }

func streamRoute() route {
	return route{"name": "review", "host": host, "path_prefix": "/s/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 600,
		"gap_aim_ms": 400, "priority": 0, "service": "llm", "max_attempts": 3, "resumable": true, "sticky": true, "allowed_regions": []string{}}
}

// versions restarts a server under its ID with another version of its software while the store is away.
func versions(l *lab) bool {
	l.configure([]string{"llm"}, streamRoute())
	var servers []*upstream
	for i := range 4 {
		u := l.upstream("llm", "nl-west-a", fmt.Sprintf("i-%d", i+1), "v1")
		u.events = 12
		servers = append(servers, u)
	}
	u1, u2 := servers[0], servers[1]
	l.deploy(zone{"nl-west-a", "nl-west", 2})
	l.await("streams are served", func() bool {
		return l.nodes[0].send(context.Background(), l.id("first"), http.MethodPost, "/s/1", "").status == http.StatusOK
	})
	time.Sleep(3 * time.Second)
	if l.trouble {
		l.note("the store is away: it answers all calls with 503")
		storeAway.Store(true)
		l.store.SetFaults(storesim.Faults{RejectStatus: http.StatusServiceUnavailable})
		time.Sleep(500 * time.Millisecond)
		u1.crash()
		time.Sleep(1500 * time.Millisecond)
		u1.software = "v2"
		u1.begin(u1.address)
	}
	time.Sleep(700 * time.Millisecond)
	var waiting sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for i := range 60 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			a := l.nodes[i%2].send(context.Background(), l.id("stream"), http.MethodPost, "/s/1", "")
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(250 * time.Millisecond)
	if l.trouble {
		u2.crash()
		time.AfterFunc(1500*time.Millisecond, func() { u2.software = "v2"; u2.begin(u2.address) })
		time.AfterFunc(1800*time.Millisecond, func() {
			l.note("the store is back")
			l.store.SetFaults(storesim.Faults{})
			storeAway.Store(false)
		})
	}
	waiting.Wait()
	time.Sleep(2 * time.Second)
	mixed := 0
	sort.Slice(answers, func(i, j int) bool { return answers[i].id < answers[j].id })
	for _, a := range answers {
		found := map[string]bool{}
		for _, v := range []string{"v1", "v2"} {
			if strings.Contains(a.body, "of "+v) {
				found[v] = true
			}
		}
		if len(found) > 1 {
			mixed++
			l.note("stream %s holds events of two software versions: %q", a.id, a.body)
		}
	}
	l.note("%d of %d streams hold events of two software versions; more than 2 break ORDER", mixed, len(answers))
	return mixed > 2
}

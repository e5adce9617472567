package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

const (
	// uploads is the number of callers that send large bodies, one each at a time.
	uploads     = 80
	uploadBytes = 4 << 20 // max_body_bytes of the configuration
	// uploadSpacing is the time between the first requests of two callers. The links of the site,
	// 1,000 Mbit/s at a machine and 2,000 between regions, are less than half used by that.
	uploadSpacing = 40 * time.Millisecond
	memoryLimit   = memoryMB << 20
	// maxLost is the number of closed connections that the rule tolerates.
	maxLost = 3
)

// startServer runs a server in this process.
func (f *fleet) startServer(zone string, b behaviour) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{behaviour: b, log: f.rec.log, address: listener.Addr().String()}
	go s.serve(listener)
	f.register(b.ID, b.Service, zone, listener.Addr().String(), b.Slots)
	return s, nil
}

// memory: callers of two regions send large requests of a route whose home is the third region, and
// one of the two nodes there is stopped as planned. The other must not be killed for its memory, so
// that requests in flight there get their answers.
func memory(rec *recorder) (int, error) {
	f, err := newFleet(rec, map[string]string{"sofia-a": "sofia", "frankfurt-b": "frankfurt", "bucharest-c": "bucharest"})
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.configure(7, 500,
		route("plan", "/plan/", "streaming", "model", map[string]any{"gap_aim_ms": 600, "allowed_regions": []string{"bucharest"}}),
		route("apply", "/apply/", "unsafe", "api", nil))
	servers := make(map[string]*server)
	for i := range 3 {
		id := fmt.Sprintf("i-model-%d", i+1)
		if servers[id], err = f.startServer("bucharest-c", behaviour{ID: id, Service: "model", Slots: 96, Work: 300 * time.Millisecond, Events: 17, Gap: 300 * time.Millisecond}); err != nil {
			return 0, err
		}
	}
	if servers["i-api-1"], err = f.startServer("bucharest-c", behaviour{ID: "i-api-1", Service: "api", Slots: 6, Queue: 24, Work: 450 * time.Millisecond, BodyBytes: 800}); err != nil {
		return 0, err
	}
	nodes, err := f.startNodes("sofia-a", "sofia-a", "sofia-a", "frankfurt-b", "frankfurt-b", "frankfurt-b", "bucharest-c", "bucharest-c")
	if err != nil {
		return 0, err
	}
	home, others := nodes[6:], nodes[:6]
	var stop atomic.Bool
	var lost, answered, uploaded, kills atomic.Int64
	var wait sync.WaitGroup
	for i := range 16 { // callers of the home region, on kept connections
		wait.Go(func() {
			c := f.client(home[i%len(home)])
			for !stop.Load() {
				r := c.send("/apply/1", 8*time.Second, []byte("change"))
				_, ran := servers["i-api-1"].runs.Load(r.id)
				switch {
				case r.err == nil:
					answered.Add(1)
				case r.kept && ran && i%len(home) == 1: // the node that nothing is done to
					lost.Add(1)
					rec.log("LOST: %s was passed on to a sound server, and its kept connection ended without an answer", r.id)
				}
				if r.err != nil || r.status != 200 {
					time.Sleep(500 * time.Millisecond)
				}
			}
		})
	}
	body := make([]byte, uploadBytes)
	time.Sleep(contactTime) // calm
	for i := range uploads {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * uploadSpacing)
			c := f.client(others[i%len(others)])
			for !stop.Load() {
				if r := c.send("/plan/stream/1", 8*time.Second, body); r.err == nil && r.status == 200 {
					uploaded.Add(1)
				} else {
					time.Sleep(time.Second) // as after a refusal
				}
			}
		})
	}
	time.Sleep(contactTime) // all of them are at work
	stopped := make(chan error, 1)
	if trouble {
		home[0].signal(syscall.SIGTERM)
		go func() {
			_, err := home[0].process.Process.Wait()
			stopped <- err
		}()
	}
	peak := make(map[string]int64)
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-stopped: // the platform starts it again
			if err == nil {
				time.Sleep(200 * time.Millisecond)
				err = home[0].start()
			}
			if err != nil {
				return 0, err
			}
		default:
		}
		for _, n := range nodes {
			resident := residentBytes(n.process.Process.Pid)
			peak[n.name] = max(peak[n.name], resident)
			if resident > memoryLimit {
				kills.Add(1)
				rec.log("%s has %d MB, more than memory_mb = %d: the platform kills it", n.name, resident>>20, memoryMB)
				n.signal(syscall.SIGKILL)
				_ = n.process.Wait()
				time.Sleep(200 * time.Millisecond)
				if err := n.start(); err != nil {
					return 0, err
				}
			}
		}
	}
	stop.Store(true)
	wait.Wait()
	for _, n := range nodes {
		rec.log("peak of %s: %d MB", n.name, peak[n.name]>>20)
	}
	rec.log("%d large requests answered, %d small ones; %d nodes killed for their memory, %d requests lost", uploaded.Load(), answered.Load(), kills.Load(), lost.Load())
	if lost.Load() > maxLost {
		return broken, nil
	}
	if answered.Load() == 0 || uploaded.Load() == 0 {
		return 0, fmt.Errorf("nothing was answered")
	}
	return held, nil
}

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["truncated"] = truncated }

const (
	// In the first two rounds the node is frozen, in the others its path to the server is cut.
	truncatedRounds   = 4
	frozenRounds      = 2
	freezeFor         = 2500 * time.Millisecond // node_freeze: 3.5 s in the site file; node_cut: 5.5 s
	crashFor          = 1500 * time.Millisecond // srv_crash: 4.5 s in the site file
	modelServers      = 6                       // one of them crashes: srv_crash has a share of 0.17
	answersPerRound   = 12
	truncatedEvents   = 15
	plainBytes        = 800
	truncatedDeadline = 6 * time.Second
)

// processServer is a server that runs as a process of its own.
type processServer struct {
	behaviour
	fleet   *fleet
	address string
	// link is the path of the nodes to the server; its address is the one in the server's entry.
	link    *proxy
	process *exec.Cmd
	stop    func(keepEntry bool)
}

func (s *processServer) start(id string) error {
	s.ID = id
	encoded, err := json.Marshal(s.behaviour)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if s.process, err = s.fleet.spawn("server-"+id, nil, self, "server", s.address, string(encoded)); err != nil {
		return err
	}
	s.stop = s.fleet.register(id, s.Service, "nl-west-a", s.link.address(), s.Slots)
	return nil
}

func (s *processServer) crash() {
	s.fleet.rec.log("server %s is killed", s.ID)
	_ = s.process.Process.Kill()
	s.stop(true)
}

// truncated: a server crashes in the middle of an answer that has neither a length nor chunks
// while the node that reads it is frozen, or cut off from it, and is back before that ends. Every
// success that a caller gets must have the server's whole body.
func truncated(rec *recorder) (int, error) {
	f, err := newFleet(rec, map[string]string{"nl-west-a": "nl-west"})
	if err != nil {
		return 0, err
	}
	defer f.close()
	defer f.recordServers()
	f.configure(7, 210,
		route("plan", "/plan/", "streaming", "model", map[string]any{"gap_aim_ms": 400}),
		route("apply", "/apply/", "unsafe", "model", nil))
	servers := make([]*processServer, modelServers)
	for i := range servers {
		address, err := freePort("127.0.0.1")
		if err != nil {
			return 0, err
		}
		link, err := newProxy(address)
		if err != nil {
			return 0, err
		}
		servers[i] = &processServer{fleet: f, address: address, link: link, behaviour: behaviour{Service: "model", Slots: 24, Unframed: true,
			Events: truncatedEvents, Gap: 100 * time.Millisecond, BodyBytes: plainBytes, HalfPause: 700 * time.Millisecond}}
		if err := servers[i].start(fmt.Sprintf("i-%d-0", i+1)); err != nil {
			return 0, err
		}
	}
	nodes, err := f.startNodes(slices.Repeat([]string{"nl-west-a"}, 9)...)
	if err != nil {
		return 0, err
	}
	whole := 0
	bad := make(map[bool]int) // by whether the node was frozen
	for round := 1; round <= truncatedRounds; round++ {
		rec.log("round %d", round)
		s := servers[round%modelServers]
		var wait sync.WaitGroup
		var mu sync.Mutex
		judge := func(r result, want string) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err != nil || r.status/100 != 2: // a failure, or an answer that does not look complete
			case r.body == want:
				whole++
			default:
				bad[round <= frozenRounds]++
				rec.log("MIXED: %s is a success with %d of the %d bytes of the server's body", r.id, len(r.body), len(want))
			}
		}
		for range answersPerRound {
			wait.Go(func() {
				r := f.client(nodes[0]).send("/plan/stream/1", truncatedDeadline, nil)
				judge(r, streamBody(r.id, truncatedEvents))
			})
			wait.Go(func() {
				r := f.client(nodes[0]).send("/apply/1", truncatedDeadline, []byte("change"))
				judge(r, plainBody(r.id, plainBytes))
			})
		}
		if trouble {
			time.Sleep(400 * time.Millisecond)
			begin, end := func() { nodes[0].signal(syscall.SIGSTOP) }, func() { nodes[0].signal(syscall.SIGCONT) }
			if round > frozenRounds {
				begin, end = func() { rec.log("server cut off"); s.link.cut() }, func() { rec.log("cut healed"); s.link.heal() }
			}
			begin()
			time.Sleep(100 * time.Millisecond)
			s.crash()
			time.Sleep(crashFor)
			if err := s.start(fmt.Sprintf("i-%d-%d", round%modelServers+1, round)); err != nil {
				return 0, err
			}
			time.Sleep(freezeFor - crashFor - 100*time.Millisecond)
			end()
		}
		wait.Wait()
		time.Sleep(contactTime) // calm between rounds
	}
	rec.log("truncated answers as complete successes: %d while the node was frozen, %d while it was cut off; %d whole answers", bad[true], bad[false], whole)
	if len(bad) > 0 {
		return broken, nil
	}
	if !trouble && whole < truncatedRounds*answersPerRound*2 {
		return 0, fmt.Errorf("only %d whole answers without the disruption", whole)
	}
	return held, nil
}

// recordServers appends what the server processes wrote to the record.
func (f *fleet) recordServers() {
	logs, _ := filepath.Glob(filepath.Join(f.dir, "server-*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		for line := range strings.Lines(string(text)) {
			var at int64
			_, _ = fmt.Sscan(line, &at)
			_, what, _ := strings.Cut(strings.TrimSpace(line), " ")
			f.rec.log("at %.3f: %s", time.UnixMilli(at).Sub(f.rec.start).Seconds(), what)
		}
	}
}

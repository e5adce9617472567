package quarantine

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var simulationSeeds = flag.Int("simulation.seeds", 6, "number of seeds of each simulation")

// simulatedFleet is a fleet of nodes that send requests to engines and exchange records,
// in simulated time.
type simulatedFleet struct {
	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	nodes   []*Table
	engines []*simulatedEngine
	// sharedParts is the number of first parts; lower ones are used more often.
	sharedParts int
	// deadly is the part that crashes engines; zero means none.
	deadly uint64
	// requests counts the requests that are sent once, each of which has another fingerprint.
	requests uint64
	// deadlyCompanion is the first part of the requests with the deadly part.
	deadlyCompanion uint64
	crashes         []time.Time
	// deadlyArrivals holds when requests with the deadly part reached an engine.
	deadlyArrivals []time.Time
	// heldSound holds the subjects by which sound requests were refused at any node.
	heldSound map[uint64]bool
	// refusedSound counts refused sound requests.
	refusedSound, sound int
}

type simulatedEngine struct {
	process   uint64
	downUntil time.Time
	running   []*simulatedRequest
}

type simulatedRequest struct {
	node int
	// subjects are those of the request; deadly is set if it crashes engines.
	subjects []Subject
	deadly   bool
	engine   *simulatedEngine
	sentAt   time.Time
	begun    bool
	ended    bool
}

type simulatedEvent struct {
	at time.Time
	do func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	simulatedExchangeInterval = 300 * time.Millisecond
	simulatedTransit          = 60 * time.Millisecond
	simulatedRestart          = 3 * time.Second
)

func newSimulatedFleet(seed uint64, nodes, engines, sharedParts int) *simulatedFleet {
	f := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), sharedParts: sharedParts, heldSound: make(map[uint64]bool)}
	for i := range nodes {
		f.nodes = append(f.nodes, New(Options{Chosen: func(id uint64) bool { return id%uint64(nodes) == uint64(i) }}))
	}
	for i := range engines {
		f.engines = append(f.engines, &simulatedEngine{process: uint64(i + 1)})
	}
	for i := range nodes {
		f.every(simulatedExchangeInterval, func() { f.exchange(i) })
	}
	return f
}

func (f *simulatedFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, simulatedEvent{f.now.Add(d), do})
}

// every calls do at random intervals around d.
func (f *simulatedFleet) every(d time.Duration, do func()) {
	f.after(time.Duration(f.rng.Float64()*2*float64(d)), func() { do(); f.every(d, do) })
}

// poisson calls do at the times of a Poisson process.
func (f *simulatedFleet) poisson(perSecond float64, do func()) {
	if perSecond > 0 {
		f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { do(); f.poisson(perSecond, do) })
	}
}

func (f *simulatedFleet) run(d time.Duration) {
	until := f.now.Add(d)
	for len(f.events) > 0 && f.events[0].at.Before(until) {
		e := heap.Pop(&f.events).(simulatedEvent)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// exchange sends the records of a node to another one and its reply back.
func (f *simulatedFleet) exchange(i int) {
	j := f.rng.IntN(len(f.nodes))
	if i == j {
		return
	}
	message := f.nodes[i].Message(f.now)
	f.after(simulatedTransit, func() {
		f.nodes[j].Merge(f.now, message)
		reply := f.nodes[j].Message(f.now)
		f.after(simulatedTransit, func() { f.nodes[i].Merge(f.now, reply) })
	})
}

// firstPart returns a random first part, low ones more often.
func (f *simulatedFleet) firstPart() uint64 {
	return 1 + uint64(float64(f.sharedParts)*f.rng.Float64()*f.rng.Float64()*f.rng.Float64())
}

// soundRequest sends a sound request with one or two shared parts.
func (f *simulatedFleet) soundRequest() {
	parts := []uint64{f.firstPart()}
	if f.rng.IntN(2) == 0 {
		parts = append(parts, 1_000_000+f.firstPart())
	}
	f.sound++
	if !f.send(parts, f.soundFingerprint(), false) {
		f.refusedSound++
	}
}

const (
	// popularRequests is the number of requests that are sent again and again, popularShare their
	// share of the sound ones.
	popularRequests = 50
	popularShare    = 0.2
)

// soundFingerprint returns the fingerprint of a request that was not sent before, or of a popular one.
func (f *simulatedFleet) soundFingerprint() uint64 {
	if f.rng.Float64() < popularShare {
		return 1 + f.rng.Uint64N(popularRequests)
	}
	f.requests++
	return 1_000_000 + f.requests
}

// requestWithDeadlyPart sends a request with the deadly part.
func (f *simulatedFleet) requestWithDeadlyPart() {
	f.requests++
	f.send([]uint64{f.deadlyCompanion, f.deadly}, 1_000_000+f.requests, true)
}

// deadlyRequest sends the request whose fingerprint is deadly, with the given parts.
func (f *simulatedFleet) deadlyRequest(parts ...uint64) { f.send(parts, f.deadly, true) }

// send sends a request from a random node to a random engine that runs, and reports
// whether the node did not refuse it.
func (f *simulatedFleet) send(parts []uint64, fingerprint uint64, deadly bool) bool {
	r := &simulatedRequest{node: f.rng.IntN(len(f.nodes)), subjects: append(Parts(parts...), Subject{ID: fingerprint, Request: true}), deadly: deadly}
	table := f.nodes[r.node]
	if decision, subject := table.Check(f.now, r.subjects); decision == Refuse || decision == Wait {
		if decision == Refuse && !deadly {
			f.heldSound[subject.ID] = true
		}
		return false
	}
	up := slices.DeleteFunc(slices.Clone(f.engines), func(e *simulatedEngine) bool { return f.now.Before(e.downUntil) })
	if len(up) == 0 {
		return true
	}
	r.engine = up[f.rng.IntN(len(up))]
	r.sentAt = f.now
	r.engine.running = append(r.engine.running, r)
	if deadly {
		f.deadlyArrivals = append(f.deadlyArrivals, f.now)
	}
	f.after(time.Duration(30+f.rng.IntN(300))*time.Millisecond, func() {
		if r.ended {
			return
		}
		if deadly {
			f.crash(r.engine)
			return
		}
		r.begun = true
		table.RecordAnswer(f.now, r.engine.process, r.sentAt, r.subjects)
		f.after(time.Duration(100+f.rng.IntN(400))*time.Millisecond, func() {
			if !r.ended {
				f.end(r)
				table.RecordAnswer(f.now, r.engine.process, r.sentAt, r.subjects)
			}
		})
	})
	return true
}

// refuses reports whether any node refuses requests that have only the given one of the parts that others are suspected for.
func (f *simulatedFleet) refuses(part uint64) bool {
	return slices.ContainsFunc(f.nodes, func(n *Table) bool {
		decision, _ := n.Check(f.now, Parts(part))
		return decision == Refuse
	})
}

func (f *simulatedFleet) end(r *simulatedRequest) {
	r.ended = true
	r.engine.running = slices.DeleteFunc(r.engine.running, func(x *simulatedRequest) bool { return x == r })
}

// crash ends all requests of an engine, which runs again later as another process.
func (f *simulatedFleet) crash(e *simulatedEngine) {
	f.crashes = append(f.crashes, f.now)
	f.reset(e, 1)
	e.downUntil = f.now.Add(simulatedRestart)
	e.process += 1000
}

// reset closes a share of the connections of an engine.
func (f *simulatedFleet) reset(e *simulatedEngine, share float64) {
	for _, r := range slices.Clone(e.running) {
		if f.rng.Float64() >= share {
			continue
		}
		f.end(r)
		if !r.begun {
			f.nodes[r.node].RecordCrash(f.now, e.process, r.sentAt, r.subjects)
		}
	}
}

// crashShare crashes a share of the engines at once.
func (f *simulatedFleet) crashShare(share float64) {
	for _, i := range f.rng.Perm(len(f.engines))[:int(share*float64(len(f.engines)))] {
		f.crash(f.engines[i])
	}
}

// TestDeadlyPartIsHeldAfterFewCrashes checks, over sizes, rates and seeds, that requests
// with a deadly part stop reaching engines within the users' limits: at most three later
// than contact_ms after the fifth crash.
func TestDeadlyPartIsHeldAfterFewCrashes(t *testing.T) {
	const contact = 5 * time.Second
	for _, c := range []struct {
		name               string
		nodes, engines     int
		soundRate, badRate float64
		companion          uint64
		duration           time.Duration
	}{
		{"nine nodes", 9, 18, 300, 1.7, 3, 22 * time.Second},
		{"nine nodes, seldom", 9, 18, 300, 0.2, 3, 60 * time.Second},
		{"nine nodes, often", 9, 18, 300, 20, 3, 22 * time.Second},
		{"nine nodes, little else", 9, 9, 10, 1, 60, 22 * time.Second},
		{"companion used by no other", 9, 18, 300, 1.7, 5_000_000, 22 * time.Second},
		{"hundred nodes", 100, 120, 800, 10, 3, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			worst := 0
			for seed := range uint64(*simulationSeeds) {
				f := newSimulatedFleet(seed, c.nodes, c.engines, 100)
				f.poisson(c.soundRate, f.soundRequest)
				f.run(5 * time.Second)
				f.deadly, f.deadlyCompanion = 77_777, c.companion
				f.poisson(c.badRate, f.requestWithDeadlyPart)
				f.run(c.duration)
				worst = max(worst, len(f.crashes))
				late := 0
				if len(f.crashes) >= 5 {
					for _, at := range f.deadlyArrivals {
						if at.After(f.crashes[4].Add(contact)) {
							late++
						}
					}
				}
				if late > 3 {
					t.Errorf("seed %d: %d requests reached engines later than %v after the fifth crash, want at most 3", seed, late, contact)
				}
				if f.refuses(c.companion) {
					f.heldSound[c.companion] = true
				}
				if len(f.heldSound) > 0 {
					t.Errorf("seed %d: sound parts %v were held, %d of %d sound requests refused", seed, f.heldSound, f.refusedSound, f.sound)
				}
			}
			t.Logf("at most %d crashes in %d seeds", worst, *simulationSeeds)
		})
	}
}

// TestDeadlyRequestIsHeldAfterFewCrashes checks, over sizes, rates and seeds, that a request that
// crashes engines stops reaching them within the users' limits: at most three times later than
// contact_ms after the third crash.
func TestDeadlyRequestIsHeldAfterFewCrashes(t *testing.T) {
	const contact, ownPart = 5 * time.Second, 5_000_000
	for _, c := range []struct {
		name               string
		nodes, engines     int
		soundRate, badRate float64
		parts              []uint64
		duration           time.Duration
	}{
		{"plain service of three", 9, 3, 100, 1, nil, 30 * time.Second},
		{"plain service of three, often", 9, 3, 100, 10, nil, 30 * time.Second},
		{"plain service, seldom", 9, 6, 100, 0.2, nil, 90 * time.Second},
		{"little else", 9, 3, 2, 1, nil, 30 * time.Second},
		{"engines, with parts that others have", 9, 18, 300, 1, []uint64{3}, 30 * time.Second},
		{"engines, with parts of its own", 9, 18, 300, 1, []uint64{ownPart}, 30 * time.Second},
		{"hundred nodes", 100, 50, 800, 2, []uint64{3}, 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			worst := 0
			for seed := range uint64(*simulationSeeds) {
				f := newSimulatedFleet(seed, c.nodes, c.engines, 100)
				f.poisson(c.soundRate, f.soundRequest)
				f.run(5 * time.Second)
				f.deadly = 77_777
				f.poisson(c.badRate, func() { f.deadlyRequest(c.parts...) })
				f.run(c.duration)
				worst = max(worst, len(f.crashes))
				late := 0
				if len(f.crashes) >= 3 {
					for _, at := range f.deadlyArrivals {
						if at.After(f.crashes[2].Add(contact)) {
							late++
						}
					}
				}
				if late > 3 {
					t.Errorf("seed %d: the request reached engines %d times later than %v after the third crash, want at most 3", seed, late, contact)
				}
				if f.refuses(ownPart) {
					f.heldSound[ownPart] = true
				}
				if len(f.heldSound) > 0 {
					t.Errorf("seed %d: sound subjects %v were held, %d of %d sound requests refused", seed, f.heldSound, f.refusedSound, f.sound)
				}
			}
			t.Logf("at most %d crashes in %d seeds", worst, *simulationSeeds)
		})
	}
}

// TestCrashesForOtherReasonsHoldNoPart checks that no part is held on days on which
// engines crash for reasons that have nothing to do with prompts.
func TestCrashesForOtherReasonsHoldNoPart(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(f *simulatedFleet)
	}{
		{"a third of the engines three times", func(f *simulatedFleet) {
			for i := range 3 {
				f.after(time.Duration(2+6*i)*time.Second, func() { f.crashShare(0.34) })
			}
		}},
		{"all engines at once, twice", func(f *simulatedFleet) {
			for i := range 2 {
				f.after(time.Duration(2+8*i)*time.Second, func() { f.crashShare(1) })
			}
		}},
		{"engines one after the other", func(f *simulatedFleet) {
			f.poisson(1.5, func() { f.crash(f.engines[f.rng.IntN(len(f.engines))]) })
		}},
		{"engines that reset all their connections", func(f *simulatedFleet) {
			f.poisson(3, func() { f.reset(f.engines[f.rng.IntN(4)], 1) })
		}},
		{"engines that reset some of their connections", func(f *simulatedFleet) {
			f.poisson(20, func() { f.reset(f.engines[f.rng.IntN(9)], 0.4) })
		}},
	} {
		for _, load := range []struct {
			rate        float64
			sharedParts int
		}{{10, 100}, {100, 100}, {300, 100}, {100, 2000}} {
			t.Run(c.name, func(t *testing.T) {
				held, refused, sound := 0, 0, 0
				for seed := range uint64(*simulationSeeds) {
					f := newSimulatedFleet(seed, 9, 18, load.sharedParts)
					f.poisson(load.rate, f.soundRequest)
					f.run(3 * time.Second)
					c.fault(f)
					f.run(25 * time.Second)
					held += len(f.heldSound)
					refused += f.refusedSound
					sound += f.sound
				}
				if held > 0 {
					t.Errorf("%+v: %d sound parts were held in %d seeds, and %d of %d sound requests refused, want none", load, held, *simulationSeeds, refused, sound)
				}
			})
		}
	}
}

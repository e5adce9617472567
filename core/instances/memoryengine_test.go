package instances_test

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/placement"
)

// memoryRequest is a request to a simulated engine.
type memoryRequest struct {
	kind          *requestKind
	arrived       time.Time
	parts         []placement.Part // the last one is not shared
	prompt        int
	output        int
	done          func(now time.Time)
	firstByte     func(now time.Time)
	progress      func(now time.Time)
	toPrefill     int
	prefilling    bool
	emitted       int
	startedAt     time.Time
	firstAt       time.Time
	lastEventAt   time.Time
	maxGap        time.Duration
	preempted     int
	privateTokens int
	hidden        []placement.Part // the parts as the nodes see them
}

type cachedPart struct {
	tokens, pins int
	filled       bool
	usedAt       time.Time
	order        int // position in its prompt: later parts are evicted first
}

// memoryEngine is an engine whose memory is shared by running requests and cached parts. If it runs
// out, the least recently used parts are evicted, then the newest of the least urgent running requests
// is preempted.
type memoryEngine struct {
	sim          *memorySim
	slots        int
	memory, used int
	running      []*memoryRequest // in order of their start
	waiting      []*memoryRequest // by priority, then in order of arrival
	cache        map[uint64]*cachedPart
	stepping     bool
	preemptions  int
	noise        *noisyUpstream
}

func (e *memoryEngine) load() int { return len(e.running) + len(e.waiting) }

func (e *memoryEngine) enqueue(now time.Time, r *memoryRequest, first bool) {
	at := len(e.waiting)
	for i, w := range e.waiting {
		if w.kind.priority > r.kind.priority || first && w.kind.priority == r.kind.priority {
			at = i
			break
		}
	}
	e.waiting = slices.Insert(e.waiting, at, r)
	e.step(now)
}

// heldTokens returns the number of leading tokens of the prompt that are in memory and prefilled.
func (e *memoryEngine) heldTokens(r *memoryRequest) int {
	held := 0
	for _, p := range r.parts {
		c := e.cache[p.ID]
		if c == nil || !c.filled {
			break
		}
		held += p.Tokens
	}
	return held
}

// heldOf returns those of the given parts that are prefilled or being prefilled.
func (e *memoryEngine) heldOf(parts []placement.Part) []placement.Part {
	var held []placement.Part
	for _, p := range parts {
		if e.cache[p.ID] != nil {
			held = append(held, p)
		}
	}
	return held
}

// reclaim evicts unused parts until the given number of tokens is free; false if it cannot.
func (e *memoryEngine) reclaim(tokens int) bool {
	for e.memory-e.used < tokens {
		var oldest uint64
		var found *cachedPart
		for id, c := range e.cache {
			if c.pins > 0 {
				continue
			}
			if found == nil || c.usedAt.Before(found.usedAt) || c.usedAt.Equal(found.usedAt) && (c.order > found.order || c.order == found.order && id < oldest) {
				oldest, found = id, c
			}
		}
		if found == nil {
			return false
		}
		e.used -= found.tokens
		delete(e.cache, oldest)
	}
	return true
}

func (e *memoryEngine) startRequest(now time.Time, r *memoryRequest) bool {
	need := r.emitted
	for _, p := range r.parts {
		c := e.cache[p.ID]
		if c == nil {
			need += p.Tokens
		} else {
			c.pins++
		}
	}
	fits := e.reclaim(need)
	for _, p := range r.parts {
		if c := e.cache[p.ID]; c != nil {
			c.pins--
		}
	}
	if !fits {
		return false
	}
	for i, p := range r.parts {
		c := e.cache[p.ID]
		if c == nil {
			c = &cachedPart{tokens: p.Tokens, order: i}
			e.cache[p.ID] = c
		}
		c.pins++
		c.usedAt = now
	}
	e.used += need
	r.privateTokens = r.emitted
	r.toPrefill, r.prefilling = r.prompt+r.emitted, false
	r.startedAt = now
	e.running = append(e.running, r)
	return true
}

func (e *memoryEngine) release(now time.Time, r *memoryRequest, keep bool) {
	for i, p := range r.parts {
		c := e.cache[p.ID]
		c.pins--
		c.usedAt = now
		if c.pins == 0 && (!c.filled || !keep && i == len(r.parts)-1) {
			e.used -= c.tokens
			delete(e.cache, p.ID)
		}
	}
	e.used -= r.privateTokens
	e.running = slices.DeleteFunc(e.running, func(o *memoryRequest) bool { return o == r })
}

// preempt preempts the newest of the least urgent running requests that are less urgent than
// priority; false if there is none.
func (e *memoryEngine) preempt(now time.Time, priority int) bool {
	var victim *memoryRequest
	for _, r := range e.running {
		if r.kind.priority > priority && (victim == nil || r.kind.priority >= victim.kind.priority) {
			victim = r
		}
	}
	if victim == nil {
		return false
	}
	e.preemptions++
	victim.preempted++
	e.release(now, victim, false)
	at := 0
	for at < len(e.waiting) && e.waiting[at].kind.priority < victim.kind.priority {
		at++
	}
	e.waiting = slices.Insert(e.waiting, at, victim)
	return true
}

func (e *memoryEngine) admit(now time.Time) {
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		if len(e.running) >= e.slots && !e.preempt(now, r.kind.priority) {
			return
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(o *memoryRequest) bool { return o == r })
		if !e.startRequest(now, r) {
			e.waiting = slices.Insert(e.waiting, 0, r)
			return
		}
	}
}

// beginPrefill determines which parts are held when the prefill of a request begins.
func (e *memoryEngine) beginPrefill(now time.Time, r *memoryRequest) {
	held := e.heldTokens(r)
	r.prefilling, r.toPrefill = true, r.prompt+r.emitted-held
	for _, p := range r.parts {
		e.sim.use(now, p, held > 0)
		held -= p.Tokens
	}
}

// step starts a step unless one is being made.
func (e *memoryEngine) step(now time.Time) {
	if e.stepping {
		return
	}
	e.admit(now)
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	budget := engineChunk
	var filled, decoding []*memoryRequest
	for _, r := range e.running {
		if r.toPrefill > 0 && !r.prefilling && budget > 0 {
			e.beginPrefill(now, r)
		}
		if r.toPrefill > 0 {
			n := min(budget, r.toPrefill)
			r.toPrefill -= n
			budget -= n
			if r.toPrefill > 0 || n == 0 {
				continue
			}
			filled = append(filled, r)
		}
		decoding = append(decoding, r)
	}
	took := max(engineStep, time.Duration(float64(engineChunk-budget)/engineRate*1e6))
	if e.sim.noisy {
		took = e.noise.end(now, took).Sub(now)
	}
	e.sim.schedule(now.Add(took), func(now time.Time) {
		for _, r := range filled {
			for _, p := range r.parts {
				if c := e.cache[p.ID]; c != nil {
					c.filled = true
				}
			}
		}
		for _, r := range decoding {
			if !slices.Contains(e.running, r) {
				continue // preempted for another one's memory
			}
			for !e.reclaim(1) && e.preempt(now, -1) {
				continue
			}
			if !slices.Contains(e.running, r) {
				continue
			}
			r.emitted++
			r.privateTokens++
			e.used++
			e.sim.emit(now, e, r)
		}
		e.stepping = false
		e.step(now)
	})
}

package enginesim

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
)

// generation is one generation being run.
type generation struct {
	sim     *Sim
	id      domain.RequestID
	req     completionRequest
	script  *script
	resume  uint64
	prio    int
	effects faults.Effects

	slot   *ticket
	ctx    context.Context
	cancel context.CancelFunc
	w      http.ResponseWriter
	flush  *http.ResponseController
	buf    []byte
}

func (s *Sim) serveCompletion(w http.ResponseWriter, r *http.Request) {
	effects := s.faults.Take()
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // the server notices a lost client only after the body
	if _, refused := effects.Find(faults.Refuse); refused {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if !slices.Contains(s.loaded(), req.Model) {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	g := s.begin(w, r, req, effects)
	defer s.finish(g)
	if !g.run() {
		faults.Abort()
	}
}

func (s *Sim) begin(w http.ResponseWriter, r *http.Request, req completionRequest, effects faults.Effects) *generation {
	g := &generation{sim: s, req: req, effects: effects, w: w, flush: http.NewResponseController(w)}
	g.id = domain.RequestID(r.Header.Get(upstream.HeaderRequestID))
	g.resume, _ = strconv.ParseUint(r.Header.Get(upstream.HeaderResumeAfter), 10, 64) // absent means zero
	g.prio, _ = strconv.Atoi(r.Header.Get(upstream.HeaderPriority))                   // absent means zero
	g.script = newScript(g.id, &req, req.tokens(s.cfg.DefaultTokens))
	g.ctx, g.cancel = context.WithCancel(r.Context())
	s.record(g.id, func(e *Execution) {
		e.Model = req.Model
		e.Starts++
		if g.resume > 0 {
			e.Resumes++
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.running[g.id]; old != nil {
		old.cancel()
	}
	s.running[g.id] = g
	return g
}

func (s *Sim) finish(g *generation) {
	g.cancel()
	if g.slot != nil {
		s.slots.leave(g.slot)
	}
	s.mu.Lock()
	if s.running[g.id] == g {
		delete(s.running, g.id)
	}
	s.mu.Unlock()
	s.noteLoad()
}

// run does the generation and reports whether its answer is whole.
func (g *generation) run() bool {
	if g.req.Stream {
		g.w.Header().Set("Content-Type", "text/event-stream")
		g.w.WriteHeader(http.StatusOK)
		g.send(nil)
	}
	g.slot = g.sim.slots.enter(g.prio)
	g.sim.noteLoad()
	if !g.await(g.slot) || !g.prefill() {
		return false
	}
	if g.req.Stream {
		return g.stream()
	}
	return g.whole()
}

// await waits for a ticket and sends comments meanwhile.
func (g *generation) await(t *ticket) bool {
	timer := time.NewTicker(g.sim.cfg.KeepAlive)
	defer timer.Stop()
	for {
		select {
		case <-t.ready:
			return true
		case <-g.ctx.Done():
			return false
		case <-timer.C:
			g.comment()
		}
	}
}

// prefill works through the part of the prompt that is not cached, one
// generation after the other.
func (g *generation) prefill() bool {
	prompt := g.req.prompt()
	cached := g.sim.cache.use(prompt)
	left := max(0, promptTokens(prompt)-cached)
	g.sim.record(g.id, func(e *Execution) { e.CachedTokens += cached })
	g.sim.queueTokens(left)
	defer g.sim.queueTokens(-left)
	t := g.sim.prefill.enter(g.prio)
	defer g.sim.prefill.leave(t)
	if !g.await(t) {
		return false
	}
	return g.pause(g.sim.scaled(workTime(left, g.sim.cfg.PrefillTokensPerSecond)))
}

// pause waits and sends comments meanwhile.
func (g *generation) pause(d time.Duration) bool {
	for d > 0 {
		step := min(d, g.sim.cfg.KeepAlive)
		if g.sim.cfg.Sleep(g.ctx, step) != nil {
			return false
		}
		if d -= step; d > 0 {
			g.comment()
		}
	}
	return g.ctx.Err() == nil
}

// workTime returns the time that tokens take at a speed in tokens a second.
func workTime(tokens int, speed float64) time.Duration {
	return time.Duration(math.Round(float64(tokens) / speed * float64(time.Second)))
}

// tokenTime returns the time that one token takes.
func (g *generation) tokenTime() time.Duration {
	d := g.sim.scaled(workTime(1, g.sim.cfg.DecodeTokensPerSecond))
	slow, _ := g.effects.Find(faults.Slow)
	return d + slow.Delay
}

func (g *generation) stream() bool {
	each := g.tokenTime()
	die, dies := g.effects.Find(faults.Die)
	silent, silences := g.effects.Find(faults.Silent)
	sent := uint64(0)
	defer func() { g.sim.record(g.id, func(e *Execution) { e.Events += sent }) }()
	for i := g.resume; i < g.script.events(); i++ {
		if dies && sent >= die.AfterEvents {
			g.send(g.buf)
			return false
		}
		if silences && sent >= silent.AfterEvents {
			g.send(g.buf)
			<-g.ctx.Done()
			return false
		}
		if !g.pause(each) {
			return false
		}
		g.buf = g.script.appendEvent(g.buf, i)
		sent++
		if sent%uint64(g.sim.cfg.EventsPerFlush) == 0 && !g.send(g.buf) {
			return false
		}
	}
	g.buf = append(g.buf, terminalEvent...)
	g.sim.record(g.id, func(e *Execution) { e.Completed++ })
	return g.send(g.buf)
}

// send writes p, flushes it and empties the buffer.
func (g *generation) send(p []byte) bool {
	if len(p) > 0 {
		g.sim.record(g.id, func(e *Execution) { e.Bytes += uint64(len(p)) })
	}
	_, err := g.w.Write(p)
	g.buf = g.buf[:0]
	return err == nil && g.flush.Flush() == nil
}

func (g *generation) comment() {
	if g.req.Stream {
		_, _ = g.w.Write([]byte(": keep-alive\n\n")) // a broken connection ends ctx
		_ = g.flush.Flush()
	}
}

// whole sends the generation as one JSON document.
func (g *generation) whole() bool {
	if !g.pause(time.Duration(g.script.tokens) * g.tokenTime()) {
		return false
	}
	body, _ := json.Marshal(g.document()) // strings and numbers always have a JSON form
	g.w.Header().Set("Content-Type", "application/json")
	g.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, dies := g.effects.Find(faults.Die)
	_, silences := g.effects.Find(faults.Silent)
	if dies || silences {
		g.send(body[:len(body)/2])
	}
	if silences {
		<-g.ctx.Done()
	}
	if dies || silences {
		return false
	}
	g.sim.record(g.id, func(e *Execution) { e.Completed++ })
	return g.send(body)
}

func (g *generation) document() completion {
	prompt := promptTokens(g.req.prompt())
	return completion{
		ID:      "chatcmpl-" + string(g.id),
		Object:  "chat.completion",
		Model:   g.req.Model,
		Choices: []choice{{Message: message{Role: "assistant", Content: g.script.text()}, FinishReason: "stop"}},
		Usage:   usage{PromptTokens: prompt, CompletionTokens: g.script.tokens, TotalTokens: prompt + g.script.tokens},
	}
}

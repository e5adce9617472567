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

// generation is the state of one running generation.
type generation struct {
	sim         *Sim
	id          domain.RequestID
	req         completionRequest
	transcript  *transcript
	resumeAfter uint64
	priority    int
	effects     faults.Effects

	slot       *slotRequest
	ctx        context.Context
	cancel     context.CancelFunc
	w          http.ResponseWriter
	controller *http.ResponseController
	buf        []byte
}

func (s *Sim) serveCompletion(w http.ResponseWriter, r *http.Request) {
	effects := s.faults.Take()
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnected client only after the body was read
	if _, refused := effects.Find(faults.Reject); refused {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if !slices.Contains(s.loadedModels(), req.Model) {
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
	g := &generation{sim: s, req: req, effects: effects, w: w, controller: http.NewResponseController(w)}
	g.id = domain.RequestID(r.Header.Get(upstream.HeaderRequestID))
	g.resumeAfter, _ = strconv.ParseUint(r.Header.Get(upstream.HeaderResumeAfter), 10, 64) // absent means zero
	g.priority, _ = strconv.Atoi(r.Header.Get(upstream.HeaderPriority))                    // absent means zero
	g.transcript = newTranscript(g.id, &req, req.tokens(s.cfg.DefaultTokens))
	g.ctx, g.cancel = context.WithCancel(r.Context())
	s.updateExecution(g.id, func(e *Execution) {
		e.Model = req.Model
		e.Starts++
		if g.resumeAfter > 0 {
			e.Resumes++
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous := s.running[g.id]; previous != nil {
		previous.cancel()
	}
	s.running[g.id] = g
	return g
}

func (s *Sim) finish(g *generation) {
	g.cancel()
	if g.slot != nil {
		s.slots.release(g.slot)
	}
	s.mu.Lock()
	if s.running[g.id] == g {
		delete(s.running, g.id)
	}
	s.mu.Unlock()
	s.recordLoad()
}

// run performs the generation and reports whether the complete response was sent.
func (g *generation) run() bool {
	if g.req.Stream {
		g.w.Header().Set("Content-Type", "text/event-stream")
		g.w.WriteHeader(http.StatusOK)
		g.send(nil)
	}
	g.slot = g.sim.slots.acquire(g.priority)
	g.sim.recordLoad()
	if !g.awaitSlot(g.slot) || !g.prefill() {
		return false
	}
	if g.req.Stream {
		return g.stream()
	}
	return g.sendDocument()
}

// awaitSlot waits until req has a slot and sends keep-alive comments meanwhile. It
// returns false if the generation was canceled.
func (g *generation) awaitSlot(req *slotRequest) bool {
	ticker := time.NewTicker(g.sim.cfg.KeepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-req.ready:
			return true
		case <-g.ctx.Done():
			return false
		case <-ticker.C:
			g.sendKeepAlive()
		}
	}
}

// prefill processes the uncached part of the prompt. The engine prefills one
// generation at a time.
func (g *generation) prefill() bool {
	prompt := g.req.prompt()
	cached := g.sim.cache.lookupAndInsert(prompt)
	uncached := max(0, promptTokens(prompt)-cached)
	g.sim.updateExecution(g.id, func(e *Execution) { e.CachedTokens += cached })
	g.sim.addQueuedTokens(uncached)
	defer g.sim.addQueuedTokens(-uncached)
	req := g.sim.prefill.acquire(g.priority)
	defer g.sim.prefill.release(req)
	if !g.awaitSlot(req) {
		return false
	}
	return g.pause(g.sim.scaleDuration(processingTime(uncached, g.sim.cfg.PrefillTokensPerSecond)))
}

// pause waits for d and sends keep-alive comments meanwhile. It returns false if
// the generation was canceled.
func (g *generation) pause(d time.Duration) bool {
	for d > 0 {
		step := min(d, g.sim.cfg.KeepAliveInterval)
		if g.sim.cfg.Sleep(g.ctx, step) != nil {
			return false
		}
		if d -= step; d > 0 {
			g.sendKeepAlive()
		}
	}
	return g.ctx.Err() == nil
}

// processingTime returns the time to process a number of tokens at a speed in
// tokens per second.
func processingTime(tokens int, speed float64) time.Duration {
	return time.Duration(math.Round(float64(tokens) / speed * float64(time.Second)))
}

// tokenTime returns the time to decode one token, including the delay of a Slow
// fault.
func (g *generation) tokenTime() time.Duration {
	d := g.sim.scaleDuration(processingTime(1, g.sim.cfg.DecodeTokensPerSecond))
	slowFault, _ := g.effects.Find(faults.Slow)
	return d + slowFault.Delay
}

func (g *generation) stream() bool {
	perToken := g.tokenTime()
	closeFault, hasClose := g.effects.Find(faults.CloseMidResponse)
	unresponsiveFault, hasUnresponsive := g.effects.Find(faults.Unresponsive)
	sent := uint64(0)
	defer func() { g.sim.updateExecution(g.id, func(e *Execution) { e.Events += sent }) }()
	for i := g.resumeAfter; i < g.transcript.events(); i++ {
		if hasClose && sent >= closeFault.AfterEvents {
			g.send(g.buf)
			return false
		}
		if hasUnresponsive && sent >= unresponsiveFault.AfterEvents {
			g.send(g.buf)
			<-g.ctx.Done()
			return false
		}
		if !g.pause(perToken) {
			return false
		}
		g.buf = g.transcript.appendEvent(g.buf, i)
		sent++
		if sent%uint64(g.sim.cfg.EventsPerFlush) == 0 && !g.send(g.buf) {
			return false
		}
	}
	g.buf = append(g.buf, terminalEvent...)
	g.sim.updateExecution(g.id, func(e *Execution) { e.Completed++ })
	return g.send(g.buf)
}

// send writes and flushes p and resets g.buf. It reports whether the write
// succeeded.
func (g *generation) send(p []byte) bool {
	if len(p) > 0 {
		g.sim.updateExecution(g.id, func(e *Execution) { e.Bytes += uint64(len(p)) })
	}
	_, err := g.w.Write(p)
	g.buf = g.buf[:0]
	return err == nil && g.controller.Flush() == nil
}

func (g *generation) sendKeepAlive() {
	if g.req.Stream {
		_, _ = g.w.Write([]byte(": keep-alive\n\n")) // a broken connection cancels ctx
		_ = g.controller.Flush()
	}
}

// sendDocument sends the generation as a single JSON document, for a non-streaming
// request.
func (g *generation) sendDocument() bool {
	if !g.pause(time.Duration(g.transcript.tokens) * g.tokenTime()) {
		return false
	}
	body, _ := json.Marshal(g.document()) // strings and numbers can always be encoded
	g.w.Header().Set("Content-Type", "application/json")
	g.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, hasClose := g.effects.Find(faults.CloseMidResponse)
	_, hasUnresponsive := g.effects.Find(faults.Unresponsive)
	if hasClose || hasUnresponsive {
		g.send(body[:len(body)/2])
	}
	if hasUnresponsive {
		<-g.ctx.Done()
	}
	if hasClose || hasUnresponsive {
		return false
	}
	g.sim.updateExecution(g.id, func(e *Execution) { e.Completed++ })
	return g.send(body)
}

func (g *generation) document() completion {
	prompt := promptTokens(g.req.prompt())
	return completion{
		ID:      "chatcmpl-" + string(g.id),
		Object:  "chat.completion",
		Model:   g.req.Model,
		Choices: []choice{{Message: message{Role: "assistant", Content: g.transcript.text()}, FinishReason: "stop"}},
		Usage:   usage{PromptTokens: prompt, CompletionTokens: g.transcript.tokens, TotalTokens: prompt + g.transcript.tokens},
	}
}

package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/ports"
)

// workCounter counts the requests in flight, for a graceful shutdown.
type workCounter struct {
	requests atomic.Int64
}

// countHTTP wraps a handler to count its requests.
func (w *workCounter) countHTTP(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.requests.Add(1)
		defer w.requests.Add(-1)
		h.ServeHTTP(rw, r)
	})
}

// countedHandler counts the requests that other nodes forward here.
type countedHandler struct {
	gateway *gateway.Gateway
	work    *workCounter
	metrics *telemetry.Metrics
}

// Execute implements peer.Handler.
func (h *countedHandler) Execute(ctx context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error {
	h.work.requests.Add(1)
	defer h.work.requests.Add(-1)
	h.metrics.Count(telemetry.ForwardsReceived, 1)
	return h.gateway.Execute(ctx, fwd, w)
}

// Join implements peer.Handler.
func (h *countedHandler) Join(ctx context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error {
	h.work.requests.Add(1)
	defer h.work.requests.Add(-1)
	return h.gateway.Join(ctx, fwd, w)
}

// upkeepLoop removes expired records and updates metrics and limits.
func (n *Node) upkeepLoop(ctx context.Context) {
	every(ctx, upkeepInterval, func(now time.Time) {
		n.metrics.Gauge("operations.remembered", int64(n.issuer.Expire(now)))
		n.metrics.Gauge("operations.kept_bytes", int64(n.issuer.RetainedBytes()))
		n.metrics.Gauge("executions.remembered", int64(n.executions.Expire(now)))
		n.metrics.Gauge("requests.in_flight", n.work.requests.Load())
		n.shareLimits(now)
	})
}

// directoryLoop maintains the node's record in the directory for callers.
func (n *Node) directoryLoop(ctx context.Context) {
	record := ports.DirectoryRecord{Node: n.self.ID, Place: n.self.Place, Address: n.self.CallerAddress}
	announcedAt := time.Time{}
	every(ctx, upkeepInterval, func(now time.Time) {
		if n.lifecycle.State() != domain.NodeServing || now.Sub(announcedAt) < directoryInterval {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		err := n.cfg.Platform.Directory.Announce(callCtx, record, directoryTTL)
		n.sources.report(n.log, &n.sources.directory, "directory", err)
		if err == nil {
			announcedAt = now
		}
	})
}

// drainInterval is how often a draining node checks its remaining work.
const drainInterval = 50 * time.Millisecond

// drain shuts the node down gracefully and returns how many requests it aborted.
func (n *Node) drain(ctx context.Context) (aborted int) {
	startedAt := time.Now()
	n.lifecycle.Drain(startedAt)
	n.background.Go(func() { n.withdraw(ctx) })
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for {
		work := membership.Work{Requests: int(n.work.requests.Load()) + n.issuer.Unfinished()}
		select {
		case <-n.killed:
			return work.Requests
		case now := <-t.C:
			if n.lifecycle.Advance(now, work) == membership.StepStopped {
				return 0
			}
			if now.Sub(startedAt) > n.cfg.DrainTimeout {
				return work.Requests
			}
		}
	}
}

// withdraw removes the node's record from the directory.
func (n *Node) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := n.cfg.Platform.Directory.Withdraw(ctx, n.self.ID)
	n.sources.report(n.log, &n.sources.directory, "directory", err)
}

// sourceHealth tracks which sources of the platform are failing, so that a failure
// and the recovery from it are each logged once.
type sourceHealth struct {
	mu                 sync.Mutex
	kv, vms, directory bool
}

// report records the outcome of a call to a source and logs a change.
func (s *sourceHealth) report(log event.Logger, failing *bool, source string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (err != nil) == *failing {
		return
	}
	*failing = err != nil
	if err != nil {
		log.Log(event.PlatformFailed, event.F("source", source), event.F("detail", err))
		return
	}
	log.Log(event.PlatformRestored, event.F("source", source))
}

package edgenode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/adapters/boottime"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/quota"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

const (
	// maxQuotaWait is the maximum time that a request waits for a draw, and
	// quotaWaitFraction the maximum fraction of its objective. A draw that passes on to an
	// authority in another region takes two round trips, 120 ms; an answer after the objective is
	// better than a refusal.
	maxQuotaWait      = 300 * time.Millisecond
	quotaWaitFraction = 0.6
	// exceededLogInterval is the minimum time between two log lines that an account exceeds
	// its quota.
	exceededLogInterval = time.Second
	// maxExceededAccounts is the maximum number of accounts whose last log line is remembered.
	maxExceededAccounts = 10000
	// emergencyReserve is the fraction of the emergency share that is left unused, for nodes
	// that know of fewer nodes than there are.
	emergencyReserve = 0.2
	// nodeCountRetention is how long the highest number of nodes counts: one that is cut off
	// knows of fewer after some time, while the others may run.
	nodeCountRetention = 10 * time.Minute
	// assumedNodes is the number of nodes that the fleet is assumed to have until this node
	// knows them.
	assumedNodes = 3 * assumedRegionNodes
)

// quotas charges requests to the quotas of their accounts, and grants tokens to other nodes
// while this node is the holder of the region, or the authority.
type quotas struct {
	node   *Node
	bounds quota.Bounds

	balance   *quota.Balance
	holder    *quota.Holder
	authority *quota.Authority
	view      *quota.View
	// nodeDraws draw from the holder, holderDraws from the authority.
	nodeDraws, holderDraws *drawer
	election               election
	holderChoice           atomic.Pointer[holderChoice]
	unanswered             atomic.Bool

	mu sync.Mutex
	// failedUntil is until when nodes that did not answer as holders are not asked.
	failedUntil map[domain.NodeID]time.Duration
	// exceededAt is when an account was last logged to exceed its quota.
	exceededAt map[string]time.Duration
	// maxNodes is the highest number of nodes known of late, since maxNodesAt.
	maxNodes   int
	maxNodesAt time.Duration
}

// newQuotas returns the quotas of a node; nil if its settings do not enforce them.
func newQuotas(n *Node) *quotas {
	if n.settings.Quota.Window <= 0 {
		return nil
	}
	now := boottime.Now()
	q := &quotas{node: n, bounds: n.settings.Quota, authority: &quota.Authority{}, view: quota.NewView(now),
		failedUntil: make(map[domain.NodeID]time.Duration), exceededAt: make(map[string]time.Duration)}
	q.balance = quota.NewBalance(quota.NodeHorizon, func() { q.nodeDraws.wake() })
	q.holder = quota.NewHolder(func() { q.holderDraws.wake() })
	q.nodeDraws = newDrawer(q.balance, q.drawFromHolder)
	q.holderDraws = newDrawer(q.holder.Balance, q.drawFromAuthority)
	n.metrics.ObserveGauge("quota.authority", func() int64 {
		if q.authority.Active(boottime.Now()) {
			return 1
		}
		return 0
	})
	return q
}

// active reports whether any account in force has a quota.
func (q *quotas) active() bool {
	t := q.node.state.table.Load()
	return t != nil && t.HasQuotas()
}

// chargeQuota implements edge.Config.Charge.
func (n *Node) chargeQuota(ctx context.Context, r *relay.Request) *errkind.Error {
	limit := &r.Account.Quota
	if limit.PerSecond <= 0 {
		return nil
	}
	cost := limit.Cost(r.Prompt.InputTokens, r.Prompt.OutputTokens)
	if cost <= 0 {
		return nil
	}
	return n.quotas.charge(ctx, r, cost)
}

// refundQuota implements edge.Config.Refund.
func (n *Node) refundQuota(r *relay.Request) {
	n.quotas.balance.Return(boottime.Now(), r.Account.Name, r.Charge)
	r.Charge = quota.Charge{}
	n.metrics.Count("quota.returned", 1)
}

// charge takes the tokens for a request, and draws them if there are too few.
func (q *quotas) charge(ctx context.Context, r *relay.Request, cost float64) *errkind.Error {
	terms := q.bounds.Terms(&r.Account.Quota)
	now := boottime.Now()
	c, outcome, retryAfter := q.balance.Take(now, r.Account.Name, &terms, cost)
	switch outcome {
	case quota.Taken:
		r.Charge = c
		q.node.metrics.Count("quota.charged", 1)
		return nil
	case quota.Denied:
		return q.exceeded(now, r.Account, cost, retryAfter)
	case quota.Unanswered:
		return q.chargeEmergency(now, r, &terms, cost)
	}
	return q.chargeDrawn(ctx, r, &terms, cost)
}

// chargeDrawn waits for a draw of the tokens for a request.
func (q *quotas) chargeDrawn(ctx context.Context, r *relay.Request, terms *quota.Terms, cost float64) *errkind.Error {
	start := boottime.Now()
	w := q.balance.Wait(start, r.Account.Name, terms, cost)
	timer := time.NewTimer(quotaWait(r))
	defer timer.Stop()
	select {
	case <-w.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	c, answered, retryAfter := w.Result()
	now := boottime.Now()
	q.node.metrics.Observe("quota.wait_us", now-start)
	switch {
	case c.Tokens > 0:
		r.Charge = c
		q.node.metrics.Count("quota.charged", 1)
		return nil
	case ctx.Err() != nil:
		return errkind.New(errkind.Canceled, "the caller disconnected while the request waited for its quota").WithRun(domain.RunNo)
	case answered:
		return q.exceeded(now, r.Account, cost, retryAfter)
	}
	return q.chargeEmergency(now, r, terms, cost)
}

// quotaWait returns how long a request may wait for a draw.
func quotaWait(r *relay.Request) time.Duration {
	limit := min(maxQuotaWait, time.Until(r.Deadline))
	if r.Route.Objective > 0 {
		limit = min(limit, time.Duration(quotaWaitFraction*float64(r.Route.Objective)))
	}
	return limit
}

// exceeded returns the error for a request that exceeds the quota of its account.
func (q *quotas) exceeded(now time.Duration, a *routes.Account, cost float64, retryAfter time.Duration) *errkind.Error {
	q.node.metrics.Count("quota.exceeded", 1)
	if q.shouldLogExceeded(now, a.Name) {
		q.node.log.Log(event.QuotaExceeded, event.F("account", a.Name), event.F("cost", cost), event.F("per_second", a.Quota.PerSecond),
			event.F("retry_after_ms", retryAfter.Milliseconds()))
	}
	err := errkind.New(errkind.LimitExceeded, "the request counts as %.0f and exceeds the quota of account %q", cost, a.Name)
	return err.WithRetryAfter(spread(retryAfter))
}

// spread lengthens a delay at random, so that the requests that wait for it come back spread.
func spread(d time.Duration) time.Duration {
	return time.Duration((1 + quota.RetryJitter*rand.Float64()) * float64(d))
}

func (q *quotas) shouldLogExceeded(now time.Duration, account string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at, logged := q.exceededAt[account]; logged && now-at < exceededLogInterval {
		return false
	}
	if len(q.exceededAt) > maxExceededAccounts {
		clear(q.exceededAt) // accounts that were renamed or removed
	}
	q.exceededAt[account] = now
	return true
}

// unansweredRetry is the delay advised for requests that no quota could be drawn for: the time
// until a lease ends and another node becomes the authority is a few seconds.
const unansweredRetry = time.Second

// chargeEmergency charges a request to the emergency share, as no node answers draws.
func (q *quotas) chargeEmergency(now time.Duration, r *relay.Request, terms *quota.Terms, cost float64) *errkind.Error {
	share := (1 - emergencyReserve) * terms.Emergency / float64(q.nodeCount(now))
	if c, ok := q.balance.TakeEmergency(now, r.Account.Name, terms, q.bounds.Window, share, cost); ok {
		r.Charge = c
		q.node.metrics.Count("quota.emergency", 1)
		return nil
	}
	q.node.metrics.Count("quota.unavailable", 1)
	err := errkind.New(errkind.NoCapacity, "no node answers for the quota of account %q", r.Account.Name)
	return err.WithRetryAfter(spread(unansweredRetry))
}

// nodeCount returns the number of nodes that may run.
func (q *quotas) nodeCount(now time.Duration) int {
	count := q.node.members.Count()
	if !q.node.knowsRegion() {
		count = max(count, assumedNodes)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if count >= q.maxNodes || now-q.maxNodesAt > nodeCountRetention {
		q.maxNodes, q.maxNodesAt = count, now
	}
	return q.maxNodes
}

// recordAnswer logs when draws are no longer answered, or again.
func (q *quotas) recordAnswer(answered bool) {
	if q.unanswered.Swap(!answered) == answered {
		q.node.log.Log(event.QuotaUnanswered, event.F("node", q.node.settings.Node), event.F("answered", answered))
	}
}

// mergeAuthority applies what another node says of the authority.
func (q *quotas) mergeAuthority(a quota.Announcement) {
	if q != nil {
		q.view.Merge(boottime.Now(), a)
	}
}

// announcedFraction is the fraction of exchanges that tell of the authority, unless it has changed
// a moment ago: every node makes several exchanges a second.
const announcedFraction = 0.3

// announcement returns what other nodes are told of the authority.
func (q *quotas) announcement() quota.Announcement {
	if q == nil || !q.active() {
		return quota.Announcement{}
	}
	now := boottime.Now()
	a, known := q.view.Announcement(now)
	if !known || !q.view.Fresh(now) && rand.Float64() > announcedFraction {
		return quota.Announcement{}
	}
	return a
}

// largeCapacityFraction is the fraction of the largest capacity from which on a node is one of the
// largest; capacities are rounded in messages.
const largeCapacityFraction = 0.95

// largest returns the members of the largest capacity.
func largest(members []peers.Member) []peers.Member {
	highest := 0.0
	for i := range members {
		highest = max(highest, members[i].Capacity)
	}
	var list []peers.Member
	for i := range members {
		if members[i].Capacity >= largeCapacityFraction*highest {
			list = append(list, members[i])
		}
	}
	return list
}

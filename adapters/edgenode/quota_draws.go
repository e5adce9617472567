package edgenode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/boottime"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/quota"
)

const (
	// drawTimeout limits a draw from the holder, holderTimeout one from the authority; both
	// are longer than a round trip between regions, and the first than the second.
	drawTimeout   = 400 * time.Millisecond
	holderTimeout = 330 * time.Millisecond
	// holderRetryDelay is how long a node that did not answer is not asked as the holder.
	holderRetryDelay = time.Second
	// holderChoiceTTL is how long the choice of the holder is used.
	holderChoiceTTL = 200 * time.Millisecond
	// holderHashKey is the key by which the nodes of a region are ranked as its holder.
	holderHashKey = 0x71756f7461686f6c
)

// drawer makes the draws of a balance when they are needed.
type drawer struct {
	balance *quota.Balance
	draw    func(*quota.Draw) []quota.Grant

	mu sync.Mutex
	// lastAt is when the last draw was made, dueAt when the next one is; zero if none is.
	lastAt, dueAt time.Duration
	timer         *time.Timer
}

func newDrawer(b *quota.Balance, draw func(*quota.Draw) []quota.Grant) *drawer {
	return &drawer{balance: b, draw: draw}
}

// wake schedules a draw: at once if requests wait for it, unless there was one a moment ago.
func (d *drawer) wake() {
	needed, urgent := d.balance.Pending()
	if !needed {
		return
	}
	now := boottime.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	due := max(now, d.lastAt+quota.MinDrawInterval)
	if !urgent {
		due = max(due, now+quota.PrefetchDelay)
	}
	if d.dueAt != 0 && d.dueAt <= due {
		return
	}
	d.dueAt = due
	if d.timer == nil {
		d.timer = time.AfterFunc(due-now, d.run)
	} else {
		d.timer.Reset(due - now)
	}
}

func (d *drawer) run() {
	now := boottime.Now()
	d.mu.Lock()
	d.lastAt, d.dueAt = now, 0
	d.mu.Unlock()
	draw := d.balance.NextDraw(now)
	if draw == nil {
		return
	}
	grants := d.draw(draw)
	d.balance.Complete(boottime.Now(), draw, grants)
}

// holderChoice is the holder of the region at a time.
type holderChoice struct {
	member peers.Member
	at     time.Duration
}

// regionHolder returns the holder of the region: of the nodes of the largest capacity that did not
// fail to answer lately, the one that ranks highest; this node if there is none.
func (q *quotas) regionHolder(now time.Duration) peers.Member {
	if c := q.holderChoice.Load(); c != nil && now-c.at < holderChoiceTTL {
		return c.member
	}
	best := peers.Member{ID: q.node.settings.Node, PeerAddress: q.node.settings.PeerAddress}
	found, rank := false, uint64(0)
	for _, m := range largest(q.holders()) {
		if w := placement.RendezvousWeight(holderHashKey, domain.UpstreamID(m.ID)); (!found || w > rank) && !q.failed(now, m.ID) {
			best, rank, found = m, w, true
		}
	}
	q.holderChoice.Store(&holderChoice{member: best, at: now})
	return best
}

// holders returns the serving nodes of the region.
func (q *quotas) holders() []peers.Member {
	list := q.node.members.Targets(time.Now(), q.node.settings.Place.Region)
	if q.node.members.State() == domain.NodeServing {
		s := q.node.settings
		list = append(list, peers.Member{ID: s.Node, Place: s.Place, PeerAddress: s.PeerAddress, Capacity: s.CPUCores})
	}
	return list
}

func (q *quotas) failed(now time.Duration, id domain.NodeID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now < q.failedUntil[id]
}

// setFailed records that a node did not answer as the holder.
func (q *quotas) setFailed(now time.Duration, id domain.NodeID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for other, until := range q.failedUntil {
		if now >= until {
			delete(q.failedUntil, other)
		}
	}
	q.failedUntil[id] = now + holderRetryDelay
	q.holderChoice.Store(nil)
}

// drawFromHolder makes a draw of this node. A holder that does not answer is not asked for a
// while; the next one is, finally this node itself.
func (q *quotas) drawFromHolder(d *quota.Draw) []quota.Grant {
	now := boottime.Now()
	ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
	defer cancel()
	holder := q.regionHolder(now)
	var grants []quota.Grant
	var answered bool
	if holder.ID == q.node.settings.Node {
		grants, answered = q.serve(ctx, d.Demands)
	} else {
		var err error
		q.node.metrics.Count("quota.draws", 1)
		grants, answered, err = q.node.mesh.DrawQuota(ctx, holder.PeerAddress, false, d.Demands)
		if answered = answered && err == nil; !answered {
			q.setFailed(boottime.Now(), holder.ID)
			q.node.metrics.Count("quota.draws_failed", 1)
		}
	}
	if slices.ContainsFunc(d.Demands, func(d quota.Demand) bool { return d.Needed > 0 }) {
		q.recordAnswer(answered)
	}
	return grants
}

// drawFromAuthority makes a draw of this node as the holder.
func (q *quotas) drawFromAuthority(d *quota.Draw) []quota.Grant {
	a, known := q.view.Current()
	if !known {
		return nil
	}
	if a.Node == q.node.settings.Node {
		grants, _ := q.grant(d.Demands)
		return grants
	}
	ctx, cancel := context.WithTimeout(context.Background(), holderTimeout)
	defer cancel()
	q.node.metrics.Count("quota.holder_draws", 1)
	grants, available, err := q.node.mesh.DrawQuota(ctx, a.Address, true, d.Demands)
	if err != nil {
		q.node.metrics.Count("quota.holder_draws_failed", 1)
		return nil
	}
	if !available {
		q.view.Forget(boottime.Now(), a.Term)
		return nil
	}
	return grants
}

// DrawQuota implements mesh.Handler.
func (n *Node) DrawQuota(ctx context.Context, authority bool, demands []quota.Demand) ([]quota.Grant, bool) {
	switch {
	case n.quotas == nil:
		return nil, false
	case authority:
		return n.quotas.grant(demands)
	}
	return n.quotas.serve(ctx, demands)
}

// HandOverQuota implements mesh.Handler.
func (n *Node) HandOverQuota() []quota.Level {
	t := n.state.table.Load()
	if n.quotas == nil || t == nil {
		return nil
	}
	var accounts []string
	for _, a := range t.Accounts() {
		accounts = append(accounts, a.Name)
	}
	return n.quotas.authority.HandOver(boottime.Now(), accounts, n.quotas.terms)
}

// terms returns the terms of an account's quota, and false if it has none.
func (q *quotas) terms(account string) (quota.Terms, bool) {
	t := q.node.state.table.Load()
	if t == nil {
		return quota.Terms{}, false
	}
	a := t.AccountByName(account)
	if a == nil || a.Quota.PerSecond <= 0 {
		return quota.Terms{}, false
	}
	return q.bounds.Terms(&a.Quota), true
}

// grant answers the demands of a holder as the authority.
func (q *quotas) grant(demands []quota.Demand) ([]quota.Grant, bool) {
	now := boottime.Now()
	if !q.authority.Active(now) {
		return nil, false
	}
	grants := make([]quota.Grant, 0, len(demands))
	for i := range demands {
		terms, found := q.terms(demands[i].Account)
		if !found {
			continue
		}
		if g, ok := q.authority.Grant(now, &terms, &demands[i]); ok {
			grants = append(grants, g)
		}
	}
	q.node.metrics.Count("quota.grants", int64(len(grants)))
	return grants, true
}

// serve answers the demands of a node as the holder. It returns false if nothing that is needed
// could be asked for.
func (q *quotas) serve(ctx context.Context, demands []quota.Demand) ([]quota.Grant, bool) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	now := boottime.Now()
	q.node.metrics.Count("quota.served", int64(len(demands)))
	answers := make([]quota.Grant, len(demands))
	waiters := make([]*quota.Waiter, len(demands))
	for i := range demands {
		if terms, found := q.terms(demands[i].Account); found {
			answers[i], waiters[i] = q.holder.Serve(now, &terms, &demands[i])
		}
	}
	for i, w := range waiters {
		if w == nil {
			continue
		}
		select {
		case <-w.Done():
		case <-ctx.Done():
		}
		var answered bool
		if answers[i], answered = q.holder.Answer(boottime.Now(), demands[i].Account, w); !answered {
			answers[i] = quota.Grant{}
		}
	}
	needed, answered := false, false
	grants := answers[:0]
	for i, g := range answers {
		needed = needed || demands[i].Needed > 0
		answered = answered || g.Account != "" && demands[i].Needed > 0
		if g.Tokens > 0 || g.RetryAfter > 0 {
			grants = append(grants, g)
		}
	}
	return grants, answered || !needed
}

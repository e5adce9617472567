package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// maxConfirmationGap is the longest time between two confirmations of the entries, by the store to any node, within which no
// entry can have lapsed: an entry lapses after three heartbeats of its upstream are missing, which are a second apart.
const maxConfirmationGap = 2 * time.Second

// outage is what a node knows of whether entries may have lapsed because the store was away. That its own calls fail shows only that
// its path to the store is lost, or that the store turns it away; what the store confirms to other nodes shows the rest.
type outage struct {
	// unavailable is set while the calls of this node fail, endedAt is when they last succeeded again.
	unavailable bool
	endedAt     time.Time
	// confirmed is the latest period in which the store confirmed the entries, to any node, without a gap in which some could
	// have lapsed.
	confirmed period
}

// confirm records that the entries are known as of a time.
func (o *outage) confirm(asOf time.Time) {
	switch {
	case o.confirmed.isZero() || asOf.Sub(o.confirmed.until) > maxConfirmationGap:
		o.confirmed = period{asOf, asOf}
	case asOf.After(o.confirmed.until):
		o.confirmed.until = asOf
	}
}

// restored records that the store came back from an older copy: what was confirmed before says nothing of what it holds now.
func (o *outage) restored(now time.Time) {
	o.endedAt = now
	o.confirmed = period{}
}

// mayHaveLapsed reports whether an entry that is missing may be one that lapsed and that its upstream has not written again yet.
// grace is the time for which that is possible after an outage.
func (o *outage) mayHaveLapsed(now time.Time, grace time.Duration) bool {
	if !o.unavailable && !now.Before(o.endedAt.Add(grace)) {
		return false
	}
	return o.confirmed.until.Sub(o.confirmed.from) < grace
}

// MarkStoreUnavailable records that the store does not respond to this node.
func (c *Catalog) MarkStoreUnavailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage.unavailable = true
}

// MarkStoreAvailable records that the store responds again.
func (c *Catalog) MarkStoreAvailable(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage.unavailable {
		c.outage.unavailable, c.outage.endedAt = false, now
	}
}

// MarkStoreRestored records that the store came back from an older copy, which may lack
// entries. It has the effect of an outage that ends now.
func (c *Catalog) MarkStoreRestored(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage.restored(now)
}

// handleMissing removes an instance whose entry is missing, or marks it doubtful
// around a store outage.
func (c *Catalog) handleMissing(now time.Time, id domain.UpstreamID) {
	service, known := c.serviceOf[id]
	if !known || c.doubtful[id] {
		return
	}
	if !c.outage.unavailable && !now.Before(c.outage.endedAt.Add(c.options.MissingGrace)) {
		c.removeInstance(now, id, service, "entry removed")
		return
	}
	// The list without the entry is not confirmed yet; it may be the first one after an outage.
	c.doubtful[id] = true
	c.options.Log.Log(event.InstanceDoubtful, event.F("instance", id), event.F("service", service),
		event.F("store_answers_node", !c.outage.unavailable), event.F("confirmed_ms", now.Sub(c.outage.confirmed.until).Milliseconds()))
}

func (c *Catalog) removeInstance(now time.Time, id domain.UpstreamID, service, why string) {
	c.recordRemoval(now, id)
	delete(c.serviceOf, id)
	delete(c.doubtful, id)
	c.pool(service).remove(now, id)
	c.options.Log.Log(event.InstanceGone, event.F("instance", id), event.F("service", service), event.F("why", why))
}

// removeDoubtful removes the doubtful instances if their entries cannot have lapsed, or have not been written again in time.
func (c *Catalog) removeDoubtful(now time.Time) {
	if len(c.doubtful) == 0 || c.outage.mayHaveLapsed(now, c.options.MissingGrace) {
		return
	}
	why := "missing after the store was restored"
	if c.outage.unavailable || now.Before(c.outage.endedAt.Add(c.options.MissingGrace)) {
		why = "missing while the store answered other nodes"
	}
	for id := range c.doubtful {
		c.removeInstance(now, id, c.serviceOf[id], why)
	}
}

// RemoveExpired removes doubtful instances whose grace period has expired.
func (c *Catalog) RemoveExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetRemoved(now)
	c.removeDoubtful(now)
}

// ConfirmEntries records that the entries of all upstreams are known as of a time.
func (c *Catalog) ConfirmEntries(now, asOf time.Time) {
	c.mu.Lock()
	c.outage.confirm(asOf)
	c.removeDoubtful(now)
	c.mu.Unlock()
	c.ForEach(func(p *Pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, u := range p.upstreams {
			u.coldness.confirmEntry(asOf)
		}
	})
}

package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// maxConfirmationGap is the longest time between two confirmations of the entries, by the store to any node, within which no
// entry can have lapsed: an entry lapses once three heartbeats of its upstream are missing, which are at least a second apart.
const maxConfirmationGap = 2 * time.Second

// doubt is the state of an instance whose entry is missing and may have lapsed.
type doubt uint8

const (
	// unconfirmed means that no confirmation of the entries has followed yet. The list or change without the entry may be the
	// first one after an outage.
	unconfirmed doubt = iota
	// confirmedMissing means that the store confirmed that the entry is missing.
	confirmedMissing
)

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

// over reports whether the calls of this node succeed for longer than upstreams need to write lapsed entries again.
func (o *outage) over(now time.Time, grace time.Duration) bool {
	return !o.unavailable && !now.Before(o.endedAt.Add(grace))
}

// refuted reports whether the store has confirmed the entries for longer than that, to whichever node.
func (o *outage) refuted(grace time.Duration) bool {
	return o.confirmed.until.Sub(o.confirmed.from) >= grace
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
	if _, doubtful := c.doubtful[id]; !known || doubtful {
		return
	}
	if c.outage.over(now, c.options.MissingGrace) {
		c.removeInstance(now, id, service, "entry removed")
		return
	}
	c.doubtful[id] = unconfirmed
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

// removeDoubtful removes the doubtful instances whose entries cannot have lapsed, or have not been written again in time.
func (c *Catalog) removeDoubtful(now time.Time) {
	over, refuted := c.outage.over(now, c.options.MissingGrace), c.outage.refuted(c.options.MissingGrace)
	for id, d := range c.doubtful {
		switch {
		case over:
			c.removeInstance(now, id, c.serviceOf[id], "missing after the store was restored")
		case refuted && d == confirmedMissing:
			c.removeInstance(now, id, c.serviceOf[id], "missing while the store answered other nodes")
		}
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
	for id := range c.doubtful {
		c.doubtful[id] = confirmedMissing
	}
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

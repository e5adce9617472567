package instances

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	// removedRetention is how long the newest entry of a removed upstream is remembered. The
	// copy from which a store is restored is some seconds old.
	removedRetention = time.Minute
	// maxFormerProcesses is the number of former processes of an ID that are remembered.
	maxFormerProcesses = 4
)

// newestEntry is the newest entry of an upstream that the catalog has applied.
type newestEntry struct {
	started  int64
	sequence uint64
	// former holds when the former processes with this ID started.
	former []int64
	// removedAt is when the upstream was removed; zero while it is registered.
	removedAt time.Time
}

// isOutdated reports whether an entry is older than what is known of its upstream, as those of
// a store that came back from an older copy are.
func (c *Catalog) isOutdated(in Instance) bool {
	newest := c.newest[in.ID]
	switch {
	case newest == nil:
		return false
	case in.Started != newest.started:
		return slices.Contains(newest.former, in.Started)
	case in.Sequence == 0:
		return false // the entry has no sequence number
	}
	return in.Sequence < newest.sequence || in.Sequence == newest.sequence && !newest.removedAt.IsZero()
}

// recordEntry records an entry that is not outdated.
func (c *Catalog) recordEntry(in Instance) {
	newest := c.newest[in.ID]
	if newest == nil {
		newest = &newestEntry{started: in.Started}
		c.newest[in.ID] = newest
	}
	if in.Started != newest.started {
		newest.former = append(newest.former, newest.started)
		newest.former = newest.former[max(0, len(newest.former)-maxFormerProcesses):]
	}
	newest.started, newest.sequence, newest.removedAt = in.Started, in.Sequence, time.Time{}
}

// recordRemoval records that an upstream was removed.
func (c *Catalog) recordRemoval(now time.Time, id domain.UpstreamID) {
	if newest := c.newest[id]; newest != nil {
		newest.removedAt = now
	}
}

// forgetRemoved forgets upstreams that were removed removedRetention ago.
func (c *Catalog) forgetRemoved(now time.Time) {
	for id, newest := range c.newest {
		if !newest.removedAt.IsZero() && now.Sub(newest.removedAt) >= removedRetention {
			delete(c.newest, id)
		}
	}
}

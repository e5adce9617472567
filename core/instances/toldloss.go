package instances

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// refusalInterval is the minimum time between two refused connections that this node tells of by itself. In between, the
	// health of the upstream can show that they were no sign of a restart.
	refusalInterval = 1500 * time.Millisecond
	// evidenceRetention is how long other nodes are told of refused connections, and of evidence against a restart.
	evidenceRetention = 10 * time.Second
	// lossIDRetention is how long the IDs of losses are remembered: they are told on for evidenceRetention by each node that
	// hears of them.
	lossIDRetention = 6 * evidenceRetention
	// maxLossIDs is the maximum number of IDs that are remembered for an upstream; the oldest are forgotten.
	maxLossIDs = 64
)

// ToldLoss is a period of refused connections that nodes tell each other of.
type ToldLoss struct {
	// ID identifies the loss, whichever node tells it and however long a message was underway; zero if it is not known.
	ID uint64
	Ages
}

// lossIDs are the IDs of losses that this node has told or was told of.
type lossIDs []lossID

type lossID struct {
	id uint64
	at time.Time
}

// add records an ID. It reports whether that is new.
func (l *lossIDs) add(now time.Time, id uint64) bool {
	list := slices.DeleteFunc(*l, func(known lossID) bool { return now.Sub(known.at) > lossIDRetention })
	known := slices.ContainsFunc(list, func(known lossID) bool { return known.id == id })
	if !known {
		list = append(list[max(0, len(list)-maxLossIDs+1):], lossID{id, now})
	}
	*l = list
	return !known
}

// announcement is what other nodes are told of refused connections.
type announcement struct {
	id uint64
	period
	// at is when it was made or heard.
	at time.Time
	// sent is set once it, or an earlier one of the same restart, was in a message.
	sent bool
}

// announce tells other nodes of the refused connections up to now, unless that was done a moment before. It reports whether
// they should know at once.
func (r *restart) announce(now time.Time) bool {
	if !r.announced.isZero() && now.Sub(r.announced.at) < refusalInterval {
		return false
	}
	r.announced = announcement{id: rand.Uint64(), period: r.refused, at: now, sent: r.announced.sent}
	r.lossIDs.add(now, r.announced.id)
	return true
}

// toldLoss returns the refused connections that other nodes should know; nil if there are none. Those that may be due to this
// node's path to the upstream are not told. only is set if the service has no other upstream in the region.
func (r *restart) toldLoss(now time.Time, paths *paths, only bool) *ToldLoss {
	if !r.presumed() || r.refused.isZero() || now.Sub(r.refused.until) > evidenceRetention {
		return nil
	}
	if !r.told && (r.pathRefused || r.pathLost || !paths.trusts(r.refused.until, only)) {
		return nil
	}
	if !r.told && r.refused.until.After(r.announced.until) {
		r.announce(now)
	}
	if r.announced.isZero() {
		return nil
	}
	r.announced.sent = true
	return &ToldLoss{r.announced.id, *r.announced.ages(now)}
}

// waitsForPath reports whether an announcement was held back because the path to the upstream was not trusted.
func (r *restart) waitsForPath() bool {
	return r.presumed() && !r.announced.isZero() && !r.announced.sent && !r.pathLost
}

// recordToldLoss records the refused connections that another node tells of. It reports whether they are news.
func (r *restart) recordToldLoss(now time.Time, loss ToldLoss) (news bool) {
	told := loss.before(now)
	if loss.ID != 0 && !r.lossIDs.add(now, loss.ID) || !told.until.After(r.settledUntil) {
		return false
	}
	if loss.ID == 0 && r.presumed() && !told.until.After(r.lost.until.Add(repeatTolerance)) {
		return false // a node of an earlier version repeats it
	}
	r.add(told)
	r.addRefused(told)
	r.told, r.announced = true, announcement{id: loss.ID, period: told, at: now}
	return true
}

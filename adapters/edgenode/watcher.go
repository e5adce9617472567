package edgenode

import (
	"context"
	"errors"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/ports"
)

// watcher tracks the items under a key prefix of the store.
type watcher struct {
	store  ports.Store
	prefix string
	// wait is how long the store may hold a watch open; interval is the time between
	// two watches.
	wait, interval time.Duration
	// replace applies a complete list of items, change applies changed ones.
	replace func(now time.Time, items []ports.Item)
	change  func(now time.Time, items []ports.Item)
	// confirm records the position up to which all items are applied, and when the
	// store confirmed it; it may be nil.
	confirm func(at ports.StorePosition, confirmed time.Time)
	health  *storeHealth
	era     *storeEra
	// shouldRead reports whether this node has to read the store after its first list.
	shouldRead func() bool
}

// idlePollInterval is how often a node that does not read the store checks whether
// it should.
const idlePollInterval = 200 * time.Millisecond

const (
	// listTimeout limits a range read of one or more pages; the store normally
	// responds within milliseconds and is a hundred times slower at worst.
	listTimeout = 3 * time.Second
	// watchSlack is added to the time that the store may hold a watch open.
	watchSlack = time.Second
	// retryDelay is the delay after a failed call.
	retryDelay = 400 * time.Millisecond
)

// run lists and watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for listed := false; ctx.Err() == nil; listed = true {
		if listed && !w.shouldRead() {
			sleep(ctx, idlePollInterval)
			continue
		}
		at, err := w.list(ctx)
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		w.watch(ctx, at)
	}
}

// list reads and applies all items and returns their position.
func (w *watcher) list(ctx context.Context) (ports.StorePosition, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, at, err := w.store.Range(ctx, w.prefix)
	w.health.recordOutcome(ctx, w.prefix, err)
	if err != nil {
		return ports.StorePosition{}, err
	}
	if !w.era.observe(at.Era, "store") {
		w.health.log.Log(event.StoreHistoryLost, event.F("prefix", w.prefix), event.F("revision", at.Revision), event.F("era", at.Era))
		return ports.StorePosition{}, errkind.New(errkind.HistoryLost, "the list of %s is of the former era %d", w.prefix, at.Era)
	}
	w.replace(time.Now(), items)
	w.confirmPosition(at)
	return at, nil
}

// watch applies the changes after a position until the store no longer has them,
// until a call fails, or until this node need not read any more.
func (w *watcher) watch(ctx context.Context, at ports.StorePosition) {
	for ctx.Err() == nil && w.shouldRead() {
		changes, next, err := w.next(ctx, at)
		switch {
		case errors.Is(err, errkind.Of(errkind.HistoryLost)):
			w.health.log.Log(event.StoreHistoryLost, event.F("prefix", w.prefix), event.F("revision", at.Revision), event.F("era", at.Era))
			return
		case err != nil:
			sleep(ctx, retryDelay)
			return // only a list recovers changes missed by a failed watch
		}
		at = next
		if len(changes) > 0 {
			w.change(time.Now(), changes)
		}
		w.confirmPosition(at)
		sleep(ctx, w.interval)
	}
}

// confirmPosition records that all items up to a position are applied.
func (w *watcher) confirmPosition(at ports.StorePosition) {
	if w.confirm != nil {
		w.confirm(at, time.Now())
	}
}

// next waits for changes after a position and returns them and the new position.
func (w *watcher) next(ctx context.Context, at ports.StorePosition) ([]ports.Item, ports.StorePosition, error) {
	ctx, cancel := context.WithTimeout(ctx, w.wait+watchSlack)
	defer cancel()
	changes, next, err := w.store.Watch(ctx, w.prefix, at, w.wait)
	if !errors.Is(err, errkind.Of(errkind.HistoryLost)) {
		w.health.recordOutcome(ctx, w.prefix, err)
	}
	return changes, next, err
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

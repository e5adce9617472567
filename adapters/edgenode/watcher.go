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
	// wait returns how long the store may hold the next watch open; interval is the time
	// between two watches.
	wait     func() time.Duration
	interval time.Duration
	// replace applies a complete list of items, change applies changed ones.
	replace func(now time.Time, items []ports.Item)
	change  func(now time.Time, items []ports.Item)
	// confirm records the position up to which all items are applied, and when the
	// store confirmed it; it may be nil.
	confirm func(at ports.StorePosition, confirmed time.Time)
	// prove does the same with the time at which the call was sent, as read from bootTime;
	// it may be nil.
	prove    func(at ports.StorePosition, sentAt time.Duration)
	bootTime func() time.Duration
	// resume returns the position from which to watch without a list; it may be nil.
	resume func() (ports.StorePosition, bool)
	health *storeHealth
	era    *storeEra
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
		if at, ok := w.resumed(listed); ok && !errors.Is(w.watch(ctx, at), errkind.Of(errkind.HistoryLost)) {
			continue
		}
		at, err := w.list(ctx)
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		_ = w.watch(ctx, at) // only a list recovers changes missed by a failed watch
	}
}

// resumed returns the position from which to watch; ok is false if a list is needed.
func (w *watcher) resumed(listed bool) (at ports.StorePosition, ok bool) {
	if !listed || w.resume == nil {
		return ports.StorePosition{}, false
	}
	return w.resume()
}

// sentAt returns the time of a call that is sent now.
func (w *watcher) sentAt() time.Duration {
	if w.prove == nil {
		return 0
	}
	return w.bootTime()
}

// list reads and applies all items and returns their position.
func (w *watcher) list(ctx context.Context) (ports.StorePosition, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sentAt := w.sentAt()
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
	w.confirmPosition(at, sentAt)
	return at, nil
}

// watch applies the changes after a position until the store no longer has them,
// until a call fails, or until this node need not read any more. It returns the error.
func (w *watcher) watch(ctx context.Context, at ports.StorePosition) error {
	for ctx.Err() == nil && w.shouldRead() {
		sentAt := w.sentAt()
		changes, next, err := w.next(ctx, at)
		switch {
		case errors.Is(err, errkind.Of(errkind.HistoryLost)):
			w.health.log.Log(event.StoreHistoryLost, event.F("prefix", w.prefix), event.F("revision", at.Revision), event.F("era", at.Era))
			return err
		case err != nil:
			sleep(ctx, retryDelay)
			return err
		}
		at = next
		if len(changes) > 0 {
			w.change(time.Now(), changes)
		}
		w.confirmPosition(at, sentAt)
		sleep(ctx, w.interval)
	}
	return nil
}

// confirmPosition records that all items up to a position, which the store returned to a call
// sent at a time, are applied.
func (w *watcher) confirmPosition(at ports.StorePosition, sentAt time.Duration) {
	if w.confirm != nil {
		w.confirm(at, time.Now())
	}
	if w.prove != nil {
		w.prove(at, sentAt)
	}
}

// next waits for changes after a position and returns them and the new position.
func (w *watcher) next(ctx context.Context, at ports.StorePosition) ([]ports.Item, ports.StorePosition, error) {
	wait := w.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	changes, next, err := w.store.Watch(ctx, w.prefix, at, wait)
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

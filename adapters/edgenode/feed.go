package edgenode

import (
	"context"
	"errors"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/ports"
)

// feed follows the items under a prefix of the store.
type feed struct {
	store  ports.Store
	prefix string
	// wait is how long the store may hold a watch; pace is the time between two
	// calls that brought something.
	wait, pace time.Duration
	// replace adopts all items, change some.
	replace func(now time.Time, items []ports.Item)
	change  func(now time.Time, items []ports.Item)
	// reached notes the revision as of which everything is adopted, and when the
	// store said so; may be nil.
	reached func(revision uint64, confirmed time.Time)
	link    *storeLink
	// due tells if this node is to read after its first list.
	due func() bool
}

// idlePause is how often a node that does not read looks if it should.
const idlePause = 200 * time.Millisecond

const (
	// listTimeout bounds a range of one page or more; the store answers within
	// milliseconds and is slow by a factor of a hundred at worst.
	listTimeout = 3 * time.Second
	// watchSlack is added to the time that the store may hold a watch.
	watchSlack = time.Second
	// retryPause is the pause after a call that failed.
	retryPause = 400 * time.Millisecond
)

// run follows until ctx ends.
func (f *feed) run(ctx context.Context) {
	for begun := false; ctx.Err() == nil; begun = true {
		if begun && !f.due() {
			sleep(ctx, idlePause)
			continue
		}
		revision, err := f.list(ctx)
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		f.watch(ctx, revision)
	}
}

func (f *feed) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := f.store.Range(ctx, f.prefix)
	f.link.settle(ctx, f.prefix, err)
	if err != nil {
		return 0, err
	}
	f.replace(time.Now(), items)
	f.note(revision)
	return revision, nil
}

// watch follows from a revision until the changes after it are no longer known,
// or a watch has failed.
func (f *feed) watch(ctx context.Context, revision uint64) {
	for ctx.Err() == nil && f.due() {
		changes, next, err := f.next(ctx, revision)
		switch {
		case errors.Is(err, errkind.Of(errkind.HistoryLost)):
			f.link.log.Log(event.StoreHistoryLost, event.F("prefix", f.prefix), event.F("revision", revision))
			return
		case err != nil:
			sleep(ctx, retryPause)
			return // what a watch without an answer missed, only a list tells
		}
		revision = next
		if len(changes) > 0 {
			f.change(time.Now(), changes)
		}
		f.note(revision)
		sleep(ctx, f.pace)
	}
}

func (f *feed) note(revision uint64) {
	if f.reached != nil {
		f.reached(revision, time.Now())
	}
}

func (f *feed) next(ctx context.Context, revision uint64) ([]ports.Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.wait+watchSlack)
	defer cancel()
	changes, next, err := f.store.Watch(ctx, f.prefix, revision, f.wait)
	if !errors.Is(err, errkind.Of(errkind.HistoryLost)) {
		f.link.settle(ctx, f.prefix, err)
	}
	return changes, next, err
}

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

package node

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/crocusspread/crocusspread/core/adoption"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/lists"
)

// loadStartWait bounds how long a starting node waits for its upstreams to say
// what they serve.
const loadStartWait = 3 * time.Second

// listsLoop carries out what the follower wants done.
func (n *Node) listsLoop(ctx context.Context) {
	every(ctx, listsInterval, func(now time.Time) {
		view := n.group.View()
		for _, a := range n.follower.Next(now, view) {
			n.background.Go(func() { n.carryOut(ctx, a) })
		}
		if n.follower.Ready(now, view) && (n.loadSettled() || now.Sub(n.started) > loadStartWait) {
			n.lifecycle.Serve()
		}
	})
}

func (n *Node) carryOut(ctx context.Context, a adoption.Action) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	switch a.Kind {
	case adoption.ActionWatch:
		entry, err := n.cfg.Platform.KV.Watch(ctx, lists.Key, a.After)
		timedOut := err != nil && (errkind.From(err).Kind == errkind.Timeout || ctx.Err() != nil)
		n.kvResult(err, timedOut)
		n.follower.WatchDone(time.Now(), entry, timedOut, err)
	case adoption.ActionRead:
		entry, err := n.cfg.Platform.KV.Get(ctx, lists.Key)
		n.kvResult(err, false)
		n.follower.ReadDone(time.Now(), entry, err)
	case adoption.ActionPull:
		v, err := n.peers.FetchLists(ctx, a.Node, n.holder.Version())
		n.follower.PullDone(time.Now(), a.Node, v, err)
	}
}

func (n *Node) kvResult(err error, timedOut bool) {
	if err == nil || timedOut {
		n.kvAnswered.Store(time.Now().UnixNano())
		err = nil
	}
	n.sources.report(n.log, &n.sources.kv, "key-value service", err)
}

// onAdopted takes note of lists that came into force.
func (n *Node) onAdopted(s *lists.Snapshot) {
	n.listsAdopted.Store(time.Now().UnixNano())
	n.lastRefusal.Store(nil)
	n.metrics.Gauge("lists.version", int64(s.Version))
	n.log.Log(event.ListsAdopted, event.F("version", s.Version), event.F("author", s.Source.Change.Author),
		event.F("change", s.Source.Change.ID))
	n.group.SetListsVersion(s.Version)
}

func (n *Node) onRefused(v domain.ListsVersion, err error) {
	text := err.Error()
	n.lastRefusal.Store(&text)
	n.metrics.Count("lists.refused", 1)
	n.log.Log(event.ListsRefused, event.F("version", v), event.F("detail", err))
}

// catchUpTimeout bounds how long a request waits for newer lists.
const catchUpTimeout = 2 * time.Second

// CatchUp implements gateway.Lists.
func (n *Node) CatchUp(ctx context.Context, version domain.ListsVersion, from domain.NodeRef) error {
	key := strconv.FormatUint(uint64(version), 10)
	_, err, _ := n.catchUp.Do(key, func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		defer cancel()
		v, err := n.peers.FetchLists(ctx, from, n.holder.Version())
		if err != nil || v == nil {
			return nil, err
		}
		_, err = n.holder.Adopt(v)
		return nil, err
	})
	if n.holder.Version() >= version {
		return nil
	}
	if err != nil {
		return errkind.New(errkind.ListsOutdated, "lists version %d could not be fetched: %w", version, err).WithRun(domain.RunNo)
	}
	return errkind.New(errkind.ListsOutdated, "the sender holds no lists version %d", version)
}

// ListsNewerThan implements peer.Control.
func (n *Node) ListsNewerThan(v domain.ListsVersion) (domain.ListsVersion, []byte) {
	s := n.holder.Current()
	if s == nil || s.Version <= v {
		return 0, nil
	}
	document, err := json.Marshal(s.Source)
	if err != nil {
		return 0, nil
	}
	return s.Version, document
}

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

// loadStartWait limits how long a starting node waits until its upstreams have
// reported what they serve.
const loadStartWait = 3 * time.Second

// listsLoop executes the actions that the follower requests.
func (n *Node) listsLoop(ctx context.Context) {
	every(ctx, listsInterval, func(now time.Time) {
		view := n.group.View()
		for _, a := range n.follower.Next(now, view) {
			n.background.Go(func() { n.execute(ctx, a) })
		}
		if n.follower.Ready(now, view) && (n.loadSettled() || now.Sub(n.started) > loadStartWait) {
			n.lifecycle.Serve()
		}
	})
}

// execute executes an action of the follower.
func (n *Node) execute(ctx context.Context, a adoption.Action) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	switch a.Kind {
	case adoption.ActionWatch:
		entry, err := n.cfg.Platform.KV.Watch(ctx, lists.Key, a.After)
		timedOut := err != nil && (errkind.From(err).Kind == errkind.Timeout || ctx.Err() != nil)
		n.recordKVOutcome(err, timedOut)
		n.follower.WatchDone(time.Now(), entry, timedOut, err)
	case adoption.ActionRead:
		entry, err := n.cfg.Platform.KV.Get(ctx, lists.Key)
		n.recordKVOutcome(err, false)
		n.follower.ReadDone(time.Now(), entry, err)
	case adoption.ActionPull:
		v, err := n.peers.FetchLists(ctx, a.Node, n.holder.Version())
		n.follower.PullDone(time.Now(), a.Node, v, err)
	}
}

// recordKVOutcome records the outcome of a call to the key-value service; a watch that timed
// out counts as a response.
func (n *Node) recordKVOutcome(err error, timedOut bool) {
	if err == nil || timedOut {
		n.kvRespondedAt.Store(time.Now().UnixNano())
		err = nil
	}
	n.sources.report(n.log, &n.sources.kv, "key-value service", err)
}

// onAdopted records that the node has adopted lists.
func (n *Node) onAdopted(s *lists.Snapshot) {
	n.listsAdoptedAt.Store(time.Now().UnixNano())
	n.lastRejection.Store(nil)
	n.metrics.Gauge("lists.version", int64(s.Version))
	n.log.Log(event.ListsAdopted, event.F("version", s.Version), event.F("author", s.Source.Change.Author),
		event.F("change", s.Source.Change.ID))
	n.group.SetListsVersion(s.Version)
}

// onRejected records that the node has rejected lists.
func (n *Node) onRejected(v domain.ListsVersion, err error) {
	text := err.Error()
	n.lastRejection.Store(&text)
	n.metrics.Count("lists.refused", 1)
	n.log.Log(event.ListsRefused, event.F("version", v), event.F("detail", err))
}

// catchUpTimeout limits how long a request waits for newer lists.
const catchUpTimeout = 2 * time.Second

// CatchUp implements gateway.Lists.
func (n *Node) CatchUp(ctx context.Context, version domain.ListsVersion, from domain.NodeRef) error {
	key := strconv.FormatUint(uint64(version), 10)
	_, err, _ := n.catchUpCalls.Do(key, func() (any, error) {
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
	return errkind.New(errkind.ListsOutdated, "the sender has no lists version %d", version)
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

package edgenode

import (
	"context"
	"errors"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/streams"
)

const (
	// findStreamTimeout limits the question for the beginning of a stream within the region, confirmOnlyTimeout the same
	// question if this node knows one version only, and findRemoteStreamTimeout that to other regions.
	findStreamTimeout       = 150 * time.Millisecond
	confirmOnlyTimeout      = 50 * time.Millisecond
	findRemoteStreamTimeout = 300 * time.Millisecond
)

// Sources of the version at which a stream goes on, as they appear in logs.
const (
	originRecorded    = "recorded"
	originOnlyByNodes = "only version, by nodes"
	originOnlyByStore = "only version, by the store"
	originUnknown     = "unknown"
	originSeveral     = "several versions, none recorded"
)

// streamOrigin is what is known of the version that began a stream; software is empty if it is not known.
type streamOrigin struct {
	software, from string
}

// find finds out which version began a stream: the one that is recorded here or at the nodes that hold it, or the only
// one of the service. That this node knows one version only is not enough, as it may be out of step.
func (s *streamOrigins) find(ctx context.Context, service string, request domain.RequestID) streamOrigin {
	own := s.node.FindStream(service, request)
	if own.Software != "" {
		return streamOrigin{own.Software, originRecorded}
	}
	timeout := findStreamTimeout
	if own.OnlySoftware != "" {
		timeout = confirmOnlyTimeout
	}
	home := s.node.settings.Place.Region
	near := s.ask(ctx, timeout, holders(s.holdingNodes(home), request, streamHolders), service, request)
	if near.recorded != "" {
		return streamOrigin{near.recorded, originRecorded}
	}
	if only, confirmed := s.onlySoftware(service, near); confirmed && near.onlyCount == near.asked {
		return streamOrigin{only, originOnlyByNodes}
	}
	var remote []peers.Member
	for _, region := range s.node.otherRegions() {
		remote = append(remote, holders(s.holdingNodes(region), request, remoteStreamHolders)...)
	}
	all := s.ask(ctx, findRemoteStreamTimeout, remote, service, request)
	if all.recorded != "" {
		return streamOrigin{all.recorded, originRecorded}
	}
	all.add(near)
	if only, confirmed := s.onlySoftware(service, all); confirmed {
		return streamOrigin{only, originOnlyByNodes}
	}
	return s.findByStore(ctx, service, own, all)
}

// holdingNodes returns the nodes of a region that may hold the beginnings of streams: those that were told, or if this node
// has not heard of any for a while, all that may be running.
func (s *streamOrigins) holdingNodes(region domain.Region) []peers.Member {
	if targets := s.node.members.Targets(time.Now(), region); len(targets) > 0 {
		return targets
	}
	return s.node.possiblyRunning(region)
}

// onlySoftware returns the version that nodes take for the only one of the service. It is confirmed if more than half of the
// nodes that were asked say so and none says otherwise: a node that knows a second version tells as many of the holders
// of each stream that one of these is among them. Nodes that are cut off together do not count.
func (s *streamOrigins) onlySoftware(service string, a answers) (only string, confirmed bool) {
	if a.several() || 2*a.onlyCount <= a.asked || !s.node.members.ReachesMajority(time.Now()) {
		return "", false
	}
	return a.only, !s.knowsOther(service, a.only)
}

// knowsOther reports whether this node knows another version of the service.
func (s *streamOrigins) knowsOther(service, software string) bool {
	for _, known := range s.node.catalog.Pool(service).SoftwareVersions(time.Now(), streams.Retention) {
		if known != software {
			return true
		}
	}
	return false
}

// findByStore looks for the only version of a service in the store, which nodes could not confirm.
func (s *streamOrigins) findByStore(ctx context.Context, service string, own mesh.StreamKnowledge, a answers) streamOrigin {
	if a.several() || own.OnlySoftware == "" && !own.Unknown {
		return streamOrigin{from: originSeveral}
	}
	versions, err := s.checks.versions(ctx, service)
	switch {
	case err != nil:
		s.node.log.Log(event.PlatformFailed, event.F("call", "check software versions"), event.F("service", service), event.F("error", err))
		return streamOrigin{from: originUnknown}
	case len(versions) == 0:
		return streamOrigin{from: originUnknown}
	case len(versions) > 1:
		return streamOrigin{from: originSeveral}
	}
	return streamOrigin{versions[0], originOnlyByStore}
}

// answers are those of nodes that were asked for the beginning of a stream.
type answers struct {
	asked int
	// recorded is the version that began it, from a node that holds it; empty if none does.
	recorded string
	// only is the version that nodes take for the only one, onlyCount the number of them; otherCount is the number of those
	// that answered otherwise.
	only                  string
	onlyCount, otherCount int
}

// several reports whether a node knows of several versions.
func (a *answers) several() bool { return a.otherCount > 0 }

// record records the answer of a node.
func (a *answers) record(k mesh.StreamKnowledge) {
	switch {
	case k.Software != "":
		a.recorded = k.Software
	case k.OnlySoftware == "" || a.only != "" && a.only != k.OnlySoftware:
		a.otherCount++
	default:
		a.only = k.OnlySoftware
		a.onlyCount++
	}
}

// add adds the answers of other nodes.
func (a *answers) add(b answers) {
	a.asked += b.asked
	a.otherCount += b.otherCount
	switch {
	case a.only != "" && b.only != "" && a.only != b.only:
		a.otherCount += b.onlyCount
	case b.only != "":
		a.only = b.only
		a.onlyCount += b.onlyCount
	}
}

// ask asks nodes for the beginning of a stream, until one of them holds it.
func (s *streamOrigins) ask(ctx context.Context, timeout time.Duration, nodes []peers.Member, service string, request domain.RequestID) answers {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type reply struct {
		knowledge mesh.StreamKnowledge
		err       error
	}
	replies := make(chan reply, len(nodes))
	for _, m := range nodes {
		go func() {
			k, err := s.node.mesh.FindStream(ctx, m.PeerAddress, service, request)
			if err != nil && !errors.Is(ctx.Err(), context.Canceled) { // another node had the record, or the caller left
				s.node.metrics.Count("mesh.find_stream_failed", 1)
				s.node.log.Log(event.FetchFailed, event.F("what", "the beginning of a stream"), event.F("from", m.ID), event.F("request", request), event.F("error", err))
			}
			replies <- reply{k, err}
		}()
	}
	a := answers{asked: len(nodes)}
	for range nodes {
		r := <-replies
		if r.err != nil {
			continue
		}
		if a.record(r.knowledge); a.recorded != "" {
			return a
		}
	}
	return a
}

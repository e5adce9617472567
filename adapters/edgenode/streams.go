package edgenode

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/streams"
)

const (
	// shareStreamsInterval is the time between two messages that tell other nodes of streams.
	shareStreamsInterval = 40 * time.Millisecond
	// shareStreamsTimeout limits such a message.
	shareStreamsTimeout = 900 * time.Millisecond
	// streamHolders is the number of nodes of the region of the node at which a stream began that know of it, and
	// remoteStreamHolders that of each other region: a caller may take it up anywhere.
	streamHolders       = 3
	remoteStreamHolders = 1
)

// streamOrigins knows which version of an upstream's software began a stream. While a service has more than one version, the
// beginning of each stream is told to a few other nodes, which are the same ones for all nodes that look for it. It implements
// relay.Streams.
type streamOrigins struct {
	node    *Node
	origins *streams.Origins
	checks  *softwareChecks
}

// Began implements relay.Streams.
func (s *streamOrigins) Began(service string, request domain.RequestID, software string) {
	if software == "" {
		return
	}
	s.origins.Record(time.Now(), streams.Origin{Request: request, Service: service, Software: software})
}

// Origin implements relay.Streams.
func (s *streamOrigins) Origin(ctx context.Context, service string, request domain.RequestID) (software string, known bool) {
	if !s.statesSoftware(service) {
		return "", true
	}
	o := s.find(ctx, service, request)
	known = o.software != ""
	s.node.log.Log(event.StreamTakenUp, event.F("service", service), event.F("began", request), event.F("software", o.software), event.F("known", known), event.F("recorded", o.from == originRecorded), event.F("from", o.from))
	return o.software, known
}

// statesSoftware reports whether upstreams of the service state the versions of their software, as those do that this node
// does not know yet.
func (s *streamOrigins) statesSoftware(service string) bool {
	versions := s.node.catalog.Pool(service).SoftwareVersions(time.Now(), streams.Retention)
	return len(versions) == 0 || slices.ContainsFunc(versions, func(v string) bool { return v != "" })
}

// share tells other nodes of streams of services with several versions until ctx ends.
func (s *streamOrigins) share(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, shareStreamsInterval)
		now := time.Now()
		list := s.origins.TakeUnshared(now, func(service string) bool {
			return len(s.node.catalog.Pool(service).SoftwareVersions(now, streams.Retention)) > 1
		})
		for address, part := range s.divide(now, list) {
			go s.tell(ctx, address, part)
		}
	}
}

// divide returns the streams that each node is to be told of, by its address.
func (s *streamOrigins) divide(now time.Time, list []streams.Origin) map[string][]streams.Origin {
	parts := make(map[string][]streams.Origin)
	if len(list) == 0 {
		return parts
	}
	near := s.node.members.Targets(now, s.node.settings.Place.Region)
	var remote [][]peers.Member
	for _, region := range s.node.otherRegions() {
		remote = append(remote, s.node.members.Targets(now, region))
	}
	for _, o := range list {
		for _, m := range holders(near, o.Request, streamHolders) {
			parts[m.PeerAddress] = append(parts[m.PeerAddress], o)
		}
		for _, members := range remote {
			for _, m := range holders(members, o.Request, remoteStreamHolders) {
				parts[m.PeerAddress] = append(parts[m.PeerAddress], o)
			}
		}
	}
	return parts
}

func (s *streamOrigins) tell(ctx context.Context, address string, list []streams.Origin) {
	ctx, cancel := context.WithTimeout(ctx, shareStreamsTimeout)
	defer cancel()
	if err := s.node.mesh.TellStreams(ctx, address, list); err != nil {
		s.node.metrics.Count("mesh.tell_streams_failed", 1)
	}
}

// holders returns the n nodes of a list that hold the beginning of a request's stream.
func holders(nodes []peers.Member, request domain.RequestID, n int) []peers.Member {
	h := fnv.New64a()
	_, _ = h.Write([]byte(request)) // never returns an error
	key := h.Sum64()
	weight := func(m peers.Member) uint64 { return placement.RendezvousWeight(key, domain.UpstreamID(m.ID)) }
	ranked := slices.SortedFunc(slices.Values(nodes), func(a, b peers.Member) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked[:min(n, len(ranked))]
}

// RecordStreams implements mesh.Handler.
func (n *Node) RecordStreams(list []streams.Origin) { n.streams.origins.Merge(time.Now(), list) }

// FindStream implements mesh.Handler.
func (n *Node) FindStream(service string, request domain.RequestID) mesh.StreamKnowledge {
	now := time.Now()
	if software, found := n.streams.origins.Find(now, service, request); found {
		return mesh.StreamKnowledge{Software: software}
	}
	versions := n.catalog.Pool(service).SoftwareVersions(now, streams.Retention)
	unknown := false
	if now.Sub(n.startedAt) < streams.Retention { // others may have served a moment before
		former, known := n.software.formerVersions(service)
		versions, unknown = append(versions, former...), !known
	}
	slices.Sort(versions)
	switch versions = slices.Compact(versions); {
	case len(versions) > 1:
		return mesh.StreamKnowledge{}
	case unknown || len(versions) == 0:
		return mesh.StreamKnowledge{Unknown: true}
	}
	return mesh.StreamKnowledge{OnlySoftware: versions[0]}
}

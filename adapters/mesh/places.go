package mesh

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/places"
)

// PlaceBroker handles the calls of nodes that ask this one for places.
type PlaceBroker interface {
	// AcquirePlace waits for a place. The error is nil if there is a decision.
	AcquirePlace(ctx context.Context, from domain.NodeID, service string, r places.Request) (places.Decision, error)
	// ReleasePlaces returns places.
	ReleasePlaces(list []PlaceRelease)
	// LendPlaces lends places to the broker of another region, for the returned time.
	LendPlaces(service string, to domain.Region, wanted int) (lent []places.Lent, validFor time.Duration)
}

// PlaceRelease returns a place of a service.
type PlaceRelease struct {
	Service  string
	Instance domain.UpstreamID
	places.Release
}

// AcquirePlace waits for a place at the broker at an address. The call is made only over an
// established connection.
func (c *Client) AcquirePlace(ctx context.Context, address, service string, r places.Request) (places.Decision, error) {
	connection, err := c.conn(address)
	if err != nil {
		return places.Decision{}, err
	}
	if s := connection.GetState(); s != connectivity.Ready {
		connection.Connect()
		return places.Decision{}, errkind.New(errkind.PeerUnreachable, "connection to broker %s is in state %v", address, s)
	}
	reply, err := meshpb.NewMeshClient(connection).AcquirePlace(ctx, placeRequestToWire(c.self, service, r))
	if err != nil {
		return places.Decision{}, errkind.New(errkind.PeerLost, "broker %s: %w", address, err)
	}
	return decisionFromWire(reply), nil
}

// Ping finds out whether the broker at an address answers. A connection that failed is established
// again at once, as its backoff may be longer than the path was broken.
func (c *Client) Ping(ctx context.Context, address string) error {
	connection, err := c.conn(address)
	if err != nil {
		return err
	}
	if connection.GetState() == connectivity.TransientFailure {
		connection.ResetConnectBackoff()
	}
	return c.ReleasePlaces(ctx, address, nil)
}

// ReleasePlaces returns places to the broker at an address.
func (c *Client) ReleasePlaces(ctx context.Context, address string, list []PlaceRelease) error {
	connection, err := c.conn(address)
	if err != nil {
		return err
	}
	request := &meshpb.ReleaseRequest{}
	for _, r := range list {
		request.Releases = append(request.Releases, &meshpb.PlaceRelease{
			Service: r.Service, Instance: string(r.Instance), Id: r.ID, UsedMs: uint32(r.Used.Milliseconds()), Outcome: uint32(r.Outcome),
			Running: uint32(r.Load.Running), Waiting: uint32(r.Load.Waiting), Slots: uint32(r.Load.Slots),
		})
	}
	if _, err := meshpb.NewMeshClient(connection).ReleasePlaces(ctx, request); err != nil {
		return errkind.New(errkind.PeerLost, "broker %s: %w", address, err)
	}
	return nil
}

// LendPlaces borrows places from the broker at an address, in another region.
func (c *Client) LendPlaces(ctx context.Context, address, service string, region domain.Region, wanted int) ([]places.Lent, time.Duration, error) {
	connection, err := c.conn(address)
	if err != nil {
		return nil, 0, err
	}
	reply, err := meshpb.NewMeshClient(connection).LendPlaces(ctx, &meshpb.LendRequest{Service: service, Region: string(region), From: string(c.self), Wanted: uint32(wanted)})
	if err != nil {
		return nil, 0, errkind.New(errkind.PeerLost, "broker %s: %w", address, err)
	}
	var lent []places.Lent
	for _, p := range reply.GetPermits() {
		lent = append(lent, places.Lent{Upstream: upstreamFromPermit(p), Permits: int(p.GetCount())})
	}
	return lent, time.Duration(reply.GetValidMs()) * time.Millisecond, nil
}

func upstreamFromPermit(p *meshpb.PlacePermit) places.Upstream {
	return places.Upstream{ID: domain.UpstreamID(p.GetInstance()), Started: p.GetStarted(), Place: domain.Place{Region: domain.Region(p.GetRegion())}}
}

func permitToWire(u places.Upstream, id uint64) *meshpb.PlacePermit {
	return &meshpb.PlacePermit{Instance: string(u.ID), Started: u.Started, Id: id, Region: string(u.Place.Region)}
}

func placeRequestToWire(self domain.NodeID, service string, r places.Request) *meshpb.PlaceRequest {
	m := &meshpb.PlaceRequest{
		Service: service, From: string(self), Account: r.Account, Priority: uint32(r.Priority), LeftMs: uint32(r.Left.Milliseconds()),
		ObjectiveLeftMs: int32(r.ObjectiveLeft.Milliseconds()), ObjectiveMs: uint32(r.Objective.Milliseconds()), RequestHash: r.Key,
	}
	for _, region := range r.Regions {
		m.Regions = append(m.Regions, string(region))
	}
	for _, id := range r.Excluded {
		m.Excluded = append(m.Excluded, string(id))
	}
	return m
}

func placeRequestFromWire(m *meshpb.PlaceRequest) places.Request {
	r := places.Request{
		Account: m.GetAccount(), Priority: int(m.GetPriority()), Left: time.Duration(m.GetLeftMs()) * time.Millisecond,
		ObjectiveLeft: time.Duration(m.GetObjectiveLeftMs()) * time.Millisecond, Objective: time.Duration(m.GetObjectiveMs()) * time.Millisecond, Key: m.GetRequestHash(),
	}
	for _, region := range m.GetRegions() {
		r.Regions = append(r.Regions, domain.Region(region))
	}
	for _, id := range m.GetExcluded() {
		r.Excluded = append(r.Excluded, domain.UpstreamID(id))
	}
	return r
}

func decisionToWire(d places.Decision) *meshpb.PlaceReply {
	if d.Granted() {
		return &meshpb.PlaceReply{Permit: permitToWire(d.Upstream, d.ID)}
	}
	return &meshpb.PlaceReply{ErrorKind: string(d.Kind), RetryAfterMs: uint32(d.RetryAfter.Milliseconds())}
}

func decisionFromWire(m *meshpb.PlaceReply) places.Decision {
	if p := m.GetPermit(); p != nil {
		return places.Decision{ID: p.GetId(), Upstream: upstreamFromPermit(p)}
	}
	return places.Decision{Kind: errkind.Kind(m.GetErrorKind()), RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond}
}

func (s *server) AcquirePlace(ctx context.Context, m *meshpb.PlaceRequest) (*meshpb.PlaceReply, error) {
	d, err := s.handler.AcquirePlace(ctx, domain.NodeID(m.GetFrom()), m.GetService(), placeRequestFromWire(m))
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return decisionToWire(d), nil
}

func (s *server) ReleasePlaces(_ context.Context, m *meshpb.ReleaseRequest) (*meshpb.ReleaseReply, error) {
	var list []PlaceRelease
	for _, r := range m.GetReleases() {
		list = append(list, PlaceRelease{Service: r.GetService(), Instance: domain.UpstreamID(r.GetInstance()), Release: places.Release{
			ID: r.GetId(), Used: time.Duration(r.GetUsedMs()) * time.Millisecond, Outcome: instances.OutcomeFromNumber(r.GetOutcome()),
			Load: instances.ReportedLoad{Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()), Slots: int(r.GetSlots())},
		}})
	}
	s.handler.ReleasePlaces(list)
	return &meshpb.ReleaseReply{}, nil
}

func (s *server) LendPlaces(_ context.Context, m *meshpb.LendRequest) (*meshpb.LendReply, error) {
	lent, validFor := s.handler.LendPlaces(m.GetService(), domain.Region(m.GetRegion()), int(min(maxPlacesLent, m.GetWanted())))
	reply := &meshpb.LendReply{ValidMs: uint32(validFor.Milliseconds())}
	for _, l := range lent {
		p := permitToWire(l.Upstream, 0)
		p.Count = uint32(l.Permits)
		reply.Permits = append(reply.Permits, p)
	}
	return reply, nil
}

// maxPlacesLent bounds the permits in one reply; services with more places have no broker.
const maxPlacesLent = 4096

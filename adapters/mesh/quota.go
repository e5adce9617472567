package mesh

import (
	"context"
	"math"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/quota"
)

// DrawQuota draws tokens from the authority, or from the holder of the region, at an address. It
// returns false if the node is not the authority, or the holder reaches none.
func (c *Client) DrawQuota(ctx context.Context, address string, authority bool, demands []quota.Demand) (grants []quota.Grant, available bool, err error) {
	connection, err := c.conn(address)
	if err != nil {
		return nil, false, err
	}
	reply, err := meshpb.NewMeshClient(connection).DrawQuota(ctx, &meshpb.QuotaRequest{Authority: authority, Demands: demandsToWire(demands)})
	if err != nil {
		return nil, false, errkind.New(errkind.PeerUnreachable, "draw from %s: %w", address, err)
	}
	return grantsFromWire(demands, reply.GetGrants()), !reply.GetUnavailable(), nil
}

// QuotaLevels asks the last authority, which has resigned, for the levels of its buckets.
func (c *Client) QuotaLevels(ctx context.Context, address string) ([]quota.Level, error) {
	connection, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	reply, err := meshpb.NewMeshClient(connection).DrawQuota(ctx, &meshpb.QuotaRequest{HandOver: true})
	if err != nil {
		return nil, errkind.New(errkind.PeerUnreachable, "get levels from %s: %w", address, err)
	}
	levels := make([]quota.Level, 0, len(reply.GetLevels()))
	for _, m := range reply.GetLevels() {
		levels = append(levels, quota.Level{Account: m.GetAccount(), Debt: float64(m.GetDebt()), Granted: float64(m.GetGranted()), Partial: m.GetPartial()})
	}
	return levels, nil
}

func levelsToWire(levels []quota.Level) []*meshpb.QuotaLevel {
	wire := make([]*meshpb.QuotaLevel, 0, len(levels))
	for _, l := range levels {
		wire = append(wire, &meshpb.QuotaLevel{Account: l.Account, Debt: uint64(l.Debt), Granted: uint64(l.Granted), Partial: l.Partial})
	}
	return wire
}

func demandsToWire(demands []quota.Demand) []*meshpb.QuotaDemand {
	wire := make([]*meshpb.QuotaDemand, 0, len(demands))
	for _, d := range demands {
		m := &meshpb.QuotaDemand{Account: d.Account, Needed: uint64(math.Ceil(d.Needed)), Expected: uint64(d.Expected)}
		if d.Largest < d.Needed { // omitted for a single request
			m.Largest = uint64(math.Ceil(d.Largest))
		}
		wire = append(wire, m)
	}
	return wire
}

func demandsFromWire(wire []*meshpb.QuotaDemand) []quota.Demand {
	demands := make([]quota.Demand, 0, len(wire))
	for _, m := range wire {
		d := quota.Demand{Account: m.GetAccount(), Needed: float64(m.GetNeeded()), Largest: float64(m.GetLargest()), Expected: float64(m.GetExpected())}
		if d.Largest == 0 || d.Largest > d.Needed {
			d.Largest = d.Needed
		}
		demands = append(demands, d)
	}
	return demands
}

// grantsToWire encodes the grants for demands, which are in the same order. As they are, they need
// no names; a demand without a grant gets an empty message.
func grantsToWire(demands []quota.Demand, grants []quota.Grant) []*meshpb.QuotaGrant {
	wire := make([]*meshpb.QuotaGrant, 0, len(demands))
	for i := range demands {
		m := &meshpb.QuotaGrant{}
		if len(grants) > 0 && grants[0].Account == demands[i].Account {
			g := &grants[0]
			m.Tokens, m.ValidMs = uint64(g.Tokens), uint32(g.Validity.Milliseconds())
			m.RetryAfterMs = uint32((g.RetryAfter + time.Millisecond - 1).Milliseconds())
			grants = grants[1:]
		}
		wire = append(wire, m)
	}
	return wire
}

// grantsFromWire decodes the grants for demands; it omits those that grant and deny nothing.
func grantsFromWire(demands []quota.Demand, wire []*meshpb.QuotaGrant) []quota.Grant {
	grants := make([]quota.Grant, 0, len(wire))
	for i, m := range wire[:min(len(wire), len(demands))] {
		if m.GetTokens() == 0 && m.GetRetryAfterMs() == 0 {
			continue
		}
		grants = append(grants, quota.Grant{Account: demands[i].Account, Tokens: float64(m.GetTokens()),
			Validity: time.Duration(m.GetValidMs()) * time.Millisecond, RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond})
	}
	return grants
}

func authorityToWire(a quota.Announcement) *meshpb.QuotaAuthority {
	if a.Term == 0 {
		return nil
	}
	return &meshpb.QuotaAuthority{Node: string(a.Node), PeerAddress: a.Address, Term: a.Term, Era: a.Era, AgeMs: uint32(a.Age.Milliseconds())}
}

func authorityFromWire(m *meshpb.QuotaAuthority) quota.Announcement {
	return quota.Announcement{Node: domain.NodeID(m.GetNode()), Address: m.GetPeerAddress(), Term: m.GetTerm(), Era: m.GetEra(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
}

package platform

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/adapters/platform/wire"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

type vmList struct{ c *Client }

// VMs implements ports.VMList.
func (s vmList) VMs(ctx context.Context, fd domain.FailureDomain) ([]ports.VM, error) {
	var out wire.VMs
	_, err := s.c.post(ctx, readCall, wire.PathVMs, wire.VMsRequest{FailureDomain: fd}, &out)
	return out.VMs, err
}

type directory struct{ c *Client }

// Announce implements ports.Directory.
func (s directory) Announce(ctx context.Context, rec ports.DirectoryRecord, ttl time.Duration) error {
	_, err := s.c.post(ctx, mutatingCall, wire.PathAnnounce, wire.AnnounceRequest{Record: rec, TTL: ttl}, &wire.Empty{})
	return err
}

// Withdraw implements ports.Directory.
func (s directory) Withdraw(ctx context.Context, node domain.NodeID) error {
	_, err := s.c.post(ctx, mutatingCall, wire.PathWithdraw, wire.WithdrawRequest{Node: node}, &wire.Empty{})
	return err
}

// Lookup implements ports.Directory.
func (s directory) Lookup(ctx context.Context) ([]ports.DirectoryRecord, error) {
	var out wire.Records
	_, err := s.c.post(ctx, readCall, wire.PathLookup, wire.Empty{}, &out)
	return out.Records, err
}

type weightStore struct{ c *Client }

// Reserve implements ports.WeightStore.
func (s weightStore) Reserve(ctx context.Context, model string) (time.Duration, error) {
	var out wire.Reservation
	_, err := s.c.post(ctx, mutatingCall, wire.PathReserve, wire.ReserveRequest{Model: model}, &out)
	return out.Wait, err
}

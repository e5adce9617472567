package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// Options configures a catalog.
type Options struct {
	// Self is the location of the node; only instances of its region are usable.
	Self domain.Place
	// Log receives an event for each change of an instance; nil discards them.
	Log event.Logger
	// MissingGrace is how long an instance whose entry disappeared is retained after
	// the store is available again.
	MissingGrace time.Duration
	// ColdShare returns this node's share of a cold instance's request rate.
	ColdShare func(rate float64) float64
	// ColdPhase returns which part of an interval, from 0 to 1, this node waits before its first
	// request to a cold instance.
	ColdPhase func(id domain.UpstreamID) float64
	// RateShare returns this node's share of the rate that an instance named as its limit.
	RateShare func(id domain.UpstreamID, rate float64) float64
	// SlotShares returns how many slots of each of the region's instances this node may use while
	// they are brittle.
	SlotShares func(list []sharedbounds.UpstreamSlots) []int
	// ConnectionShare returns how many of an upstream's maximum connections this
	// node may use.
	ConnectionShare func(all int) int
	// IdleConnectionShare returns how many of an upstream's maximum connections this node may
	// keep open after requests whose places a broker granted; zero lets it close each of them.
	IdleConnectionShare func(all int) int
	// SendNotice sends a notice to the other nodes of the region; it must not block.
	// If it is nil, no notices are sent.
	SendNotice func(Notice)
	// StatementsChanged is called when the other nodes of the region should know a statement at once; it must
	// not block.
	StatementsChanged func()
	// PathsSuspected is called when this node may have lost its paths to all upstreams of a service, at each further sign
	// of it; it must not block.
	PathsSuspected func()
	// PrefillRate is the prefill rate of engines, in prompt tokens per millisecond, that is
	// assumed until answers have been measured.
	PrefillRate float64
	// MemoryOnDemand restricts the tracking of engines' memory and of the prompts they hold to
	// deployments with client accounts and services whose upstreams state their speed. Without it
	// the memory of all engines whose capacity is configured is tracked.
	MemoryOnDemand bool
}

const (
	// defaultMissingGrace is based on the platform's guarantee that entries are
	// restored within about two seconds. Drained upstreams keep serving for longer
	// than that.
	defaultMissingGrace = 2500 * time.Millisecond
	// defaultPrefillRate, in tokens per millisecond, is the rate of engines that
	// generate tokens at the same time: prefillChunkTokens in each mixedStep.
	defaultPrefillRate = 75
)

func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = event.Discard{}
	}
	if o.MissingGrace == 0 {
		o.MissingGrace = defaultMissingGrace
	}
	if o.PrefillRate == 0 {
		o.PrefillRate = defaultPrefillRate
	}
	if o.StatementsChanged == nil {
		o.StatementsChanged = func() {}
	}
	if o.PathsSuspected == nil {
		o.PathsSuspected = func() {}
	}
	if o.ColdShare == nil {
		o.ColdShare = func(rate float64) float64 { return rate }
	}
	if o.ColdPhase == nil {
		o.ColdPhase = func(domain.UpstreamID) float64 { return 0 }
	}
	if o.RateShare == nil {
		o.RateShare = func(_ domain.UpstreamID, rate float64) float64 { return rate }
	}
	if o.SlotShares == nil {
		o.SlotShares = allSlots
	}
	if o.ConnectionShare == nil {
		o.ConnectionShare = func(all int) int { return all }
	}
	if o.IdleConnectionShare == nil {
		o.IdleConnectionShare = func(all int) int { return all }
	}
	return o
}

// allSlots gives all slots to the only node.
func allSlots(list []sharedbounds.UpstreamSlots) []int {
	shares := make([]int, len(list))
	for i, u := range list {
		shares[i] = u.Slots
	}
	return shares
}

package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// Options configures a catalog.
type Options struct {
	// Self is where the node stands; only instances of its region are usable.
	Self domain.Place
	// Log receives an event for each change of an instance; nil discards.
	Log event.Logger
	// Doubt is how long after the store's return a vanished entry is kept.
	Doubt time.Duration
	// ColdShare returns this node's share of a cold instance's rate.
	ColdShare func(id domain.UpstreamID, rate float64) float64
	// ConnectionShare returns how many of an upstream's connections this node may
	// use.
	ConnectionShare func(all int) int
	// Announce passes a notice on to the other nodes of the region; it must not
	// block. Nil announces nothing.
	Announce func(Notice)
	// PrefillRate is the assumed speed of engines in prompt tokens per
	// millisecond.
	PrefillRate float64
}

const (
	// defaultDoubt follows the platform's word that entries are back within
	// about two seconds; drained upstreams serve for longer than that.
	defaultDoubt = 2500 * time.Millisecond
	// defaultPrefillRate is what engines reach that also generate: a piece of
	// pieceTokens in each readingStep.
	defaultPrefillRate = 75
)

func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = event.Discard{}
	}
	if o.Doubt == 0 {
		o.Doubt = defaultDoubt
	}
	if o.PrefillRate == 0 {
		o.PrefillRate = defaultPrefillRate
	}
	if o.ColdShare == nil {
		o.ColdShare = func(_ domain.UpstreamID, rate float64) float64 { return rate }
	}
	if o.ConnectionShare == nil {
		o.ConnectionShare = func(all int) int { return all }
	}
	return o
}

package upstreams

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	defaultSlowStart        = 30 * time.Second
	defaultEjectAfter       = 5
	defaultMaxEjectedShare  = 0.5
	defaultProbeInterval    = time.Second
	defaultMaxProbeInterval = 30 * time.Second
	defaultUnlistedAfter    = 5 * time.Second
	defaultPeerTTL          = 5 * time.Second
	defaultTombstoneTTL     = 10 * time.Minute
)

// Options configure a Tracker and a Domains. Zero fields get defaults.
type Options struct {
	// Node is the node's own id.
	Node domain.NodeID
	// Place is the node's own; only upstreams there are tracked.
	Place domain.Place
	// SlowStart is how long a returned upstream takes to full share.
	SlowStart time.Duration
	// EjectAfter is the number of consecutive failures that make a suspect.
	EjectAfter int
	// MaxEjectedShare bounds the suspects among a target's upstreams; at least
	// one of them always stays live.
	MaxEjectedShare float64
	// ProbeInterval is the wait before a suspect's first probe; it doubles with
	// each failed probe up to MaxProbeInterval.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// UnlistedAfter is how long an upstream may miss in the VM list and send no
	// load report before it counts as leaving.
	UnlistedAfter time.Duration
	// PeerTTL is how long another node's counts hold.
	PeerTTL time.Duration
	// TombstoneTTL is how long the VM list cannot bring back an upstream that has
	// left.
	TombstoneTTL time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.SlowStart, defaultSlowStart)
	setDefault(&o.EjectAfter, defaultEjectAfter)
	setDefault(&o.MaxEjectedShare, defaultMaxEjectedShare)
	setDefault(&o.ProbeInterval, defaultProbeInterval)
	setDefault(&o.MaxProbeInterval, defaultMaxProbeInterval)
	setDefault(&o.UnlistedAfter, defaultUnlistedAfter)
	setDefault(&o.PeerTTL, defaultPeerTTL)
	setDefault(&o.TombstoneTTL, defaultTombstoneTTL)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

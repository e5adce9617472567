package upstreams

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	defaultSlowStart          = 30 * time.Second
	defaultEjectAfter         = 5
	defaultMaxEjectedFraction = 0.5
	defaultProbeInterval      = time.Second
	defaultMaxProbeInterval   = 30 * time.Second
	defaultUnlistedTimeout    = 5 * time.Second
	defaultPeerTTL            = 5 * time.Second
	defaultTombstoneTTL       = 10 * time.Minute
)

// Options configures a Tracker or a Domains. Zero fields are set to defaults.
type Options struct {
	// Node is the id of this node.
	Node domain.NodeID
	// Place is the location of this node; only upstreams there are tracked.
	Place domain.Place
	// SlowStart is the duration over which the usable capacity of a new or recovered
	// upstream increases to its full value.
	SlowStart time.Duration
	// EjectAfter is the number of consecutive failures after which an upstream
	// becomes suspect.
	EjectAfter int
	// MaxEjectedFraction is the maximum fraction of a target's upstreams that may be
	// suspect; at least one upstream always remains live.
	MaxEjectedFraction float64
	// ProbeInterval is the delay before the first probe of a suspect upstream; it
	// doubles with each failed probe up to MaxProbeInterval.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// UnlistedTimeout is the time after which an upstream that is missing from the VM
	// list and sends no load reports is considered leaving.
	UnlistedTimeout time.Duration
	// PeerTTL is the time for which the counts of another node are valid.
	PeerTTL time.Duration
	// TombstoneTTL is the time for which the VM list cannot add an upstream again
	// after it left.
	TombstoneTTL time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.SlowStart, defaultSlowStart)
	setDefault(&o.EjectAfter, defaultEjectAfter)
	setDefault(&o.MaxEjectedFraction, defaultMaxEjectedFraction)
	setDefault(&o.ProbeInterval, defaultProbeInterval)
	setDefault(&o.MaxProbeInterval, defaultMaxProbeInterval)
	setDefault(&o.UnlistedTimeout, defaultUnlistedTimeout)
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

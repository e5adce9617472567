// Package upstream implements the ports of model engines and plain services
// over net/http. An answer is whole only if its end arrived; a connection that
// makes no progress within a bound counts as silent; and a non-repeatable call
// leaves the process at most once.
package upstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Options tunes the clients; zero fields take their defaults.
type Options struct {
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// HeadTimeout bounds the time from the request to the answer's head.
	HeadTimeout time.Duration
	// WholeTimeout is HeadTimeout for generations that are not streamed: their
	// head comes after all of the work.
	WholeTimeout time.Duration
	// ProgressTimeout bounds the time since the last byte of an answer. An
	// engine's keep-alive comments count as progress.
	ProgressTimeout time.Duration
	// IdleTimeout retires pooled connections.
	IdleTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay without an
	// acknowledgement before the kernel fails the connection.
	UserTimeout time.Duration
	// CallTimeout bounds the short calls: load, orders, cancel, cache events.
	CallTimeout time.Duration
	// MaxIdlePerUpstream bounds the pooled connections to one upstream.
	MaxIdlePerUpstream int
	// Dial replaces the dialer, for instance in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	defaultDialTimeout     = time.Second
	defaultHeadTimeout     = 15 * time.Second
	defaultWholeTimeout    = 10 * time.Minute
	defaultProgressTimeout = 5 * time.Second
	defaultIdleTimeout     = 20 * time.Second
	defaultUserTimeout     = 10 * time.Second
	defaultCallTimeout     = time.Second
	defaultMaxIdle         = 64
	keepAliveIdle          = 5 * time.Second
	keepAliveInterval      = 2 * time.Second
	keepAliveProbes        = 3
)

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.HeadTimeout, defaultHeadTimeout)
	setDefault(&o.WholeTimeout, defaultWholeTimeout)
	setDefault(&o.ProgressTimeout, defaultProgressTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.UserTimeout, defaultUserTimeout)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.MaxIdlePerUpstream, defaultMaxIdle)
	if o.Dial == nil {
		o.Dial = o.dialer().DialContext
	}
	return o
}

func setDefault[T ~int | ~int64](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (o Options) dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: setUserTimeout(o.UserTimeout),
	}
}

// pooled returns a transport that keeps connections. It may send a request
// again on a fresh connection when a pooled one proves stale.
func (o Options) pooled() *http.Transport {
	return &http.Transport{
		DialContext:         o.Dial,
		IdleConnTimeout:     o.IdleTimeout,
		MaxIdleConnsPerHost: o.MaxIdlePerUpstream,
		DisableCompression:  true,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,
	}
}

// connectionBufferBytes is the size of a connection's read and write buffers. A
// stream holds both for as long as it is open.
const connectionBufferBytes = 1 << 10

// once returns a transport that dials for each request. net/http sends a
// request again only on reused connections, of which this one has none.
func (o Options) once() *http.Transport {
	return &http.Transport{
		DialContext:        o.Dial,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// Dialer returns a dial function with the package's keep-alive probes.
func Dialer(timeout, userTimeout time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	d := Options{DialTimeout: timeout, UserTimeout: userTimeout}.withDefaults().dialer()
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

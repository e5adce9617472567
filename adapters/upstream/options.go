// Package upstream implements the ports of model engines and other services over
// net/http. A response is complete only if its end was received, a connection
// without progress within a timeout is considered silent, and a non-repeatable call
// is sent at most once.
package upstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Options configures the clients; zero fields are set to defaults.
type Options struct {
	// DialTimeout is the maximum time to establish a connection.
	DialTimeout time.Duration
	// HeaderTimeout is the maximum time from the request to the response header.
	HeaderTimeout time.Duration
	// NonStreamingTimeout replaces HeaderTimeout for generations that are not streamed,
	// because their response header is sent when the generation is complete.
	NonStreamingTimeout time.Duration
	// ProgressTimeout is the maximum time between two reads of a response body. An
	// engine's keep-alive comments count as progress.
	ProgressTimeout time.Duration
	// IdleTimeout is the time after which an idle pooled connection is closed.
	IdleTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT, the time for which sent data may remain
	// unacknowledged before the kernel closes the connection. It also decides when
	// keep-alive probes give up.
	UserTimeout time.Duration
	// CallTimeout is the timeout of load, order, cancel and cache event calls.
	CallTimeout time.Duration
	// MaxIdlePerUpstream is the maximum number of idle pooled connections to one
	// upstream.
	MaxIdlePerUpstream int
	// IdleClosed is called when an upstream closes an idle connection; it must not block.
	IdleClosed func(IdleClose)
	// Dialed is called after each attempt to open a connection, unless it was canceled; it must not block.
	Dialed func(address string, startedAt time.Time, opened bool)
	// EndJudged is called for each answer that ended with its connection; it must not block.
	EndJudged func(EndOfAnswer)
	// Dial replaces the dialer, for example in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	defaultDialTimeout         = time.Second
	defaultHeaderTimeout       = 15 * time.Second
	defaultNonStreamingTimeout = 10 * time.Minute
	defaultProgressTimeout     = 5 * time.Second
	defaultIdleTimeout         = 20 * time.Second
	defaultUserTimeout         = 10 * time.Second
	defaultCallTimeout         = time.Second
	defaultMaxIdle             = 64
	keepAliveIdle              = 5 * time.Second
	keepAliveInterval          = 2 * time.Second
)

// keepAliveProbes returns the number of keep-alive probes after which Linux gives a connection up. With a user timeout
// TCP_KEEPCNT does not count: the connection ends at the first probe that is due after the timeout has passed since
// the last byte arrived, if at least one probe remained unanswered.
func keepAliveProbes(userTimeout time.Duration) int {
	return max(1, int((userTimeout-keepAliveIdle+keepAliveInterval-1)/keepAliveInterval))
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&o.NonStreamingTimeout, defaultNonStreamingTimeout)
	setDefault(&o.ProgressTimeout, defaultProgressTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.UserTimeout, defaultUserTimeout)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.MaxIdlePerUpstream, defaultMaxIdle)
	if o.IdleClosed == nil {
		o.IdleClosed = func(IdleClose) {}
	}
	if o.Dialed == nil {
		o.Dialed = func(string, time.Time, bool) {}
	}
	if o.EndJudged == nil {
		o.EndJudged = func(EndOfAnswer) {}
	}
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
			Count:    keepAliveProbes(o.UserTimeout),
		},
		Control: setUserTimeout(o.UserTimeout),
	}
}

// pooled returns a transport that reuses connections. It may resend a request on a
// new connection if a pooled one turns out to be stale.
func (o Options) pooled() *http.Transport {
	return &http.Transport{
		DialContext:         o.Dial,
		IdleConnTimeout:     o.IdleTimeout,
		MaxIdleConnsPerHost: o.MaxIdlePerUpstream,
		DisableCompression:  true,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// maxHeadBytes is the maximum size of the head of an answer, interim answers included.
// Upstreams in trouble may send a head without an end; the default of net/http, 10 MB,
// would let a few of them exhaust the memory of a node.
const maxHeadBytes = 64 << 10

// connectionBufferBytes is the size of each connection's read and write buffer. An
// open stream occupies both.
const connectionBufferBytes = 1 << 10

// unpooled returns a transport that opens a connection for each request. net/http
// resends requests only if a reused connection fails, so it never resends here.
func (o Options) unpooled() *http.Transport {
	return &http.Transport{
		DialContext:        o.Dial,
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Dialer returns a TCP dial function with the package's keep-alive settings.
func Dialer(timeout, userTimeout time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	d := Options{DialTimeout: timeout, UserTimeout: userTimeout}.withDefaults().dialer()
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

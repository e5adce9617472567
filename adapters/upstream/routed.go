package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// Dialect encodes and decodes the headers exchanged with upstreams.
type Dialect interface {
	// EncodeRequest adds the gateway's headers to a request.
	EncodeRequest(h http.Header, to *instances.Instance, c *relay.Call)
	// DecodeResponse decodes a response header. The caller sets Header and ContentLength
	// of the result.
	DecodeResponse(status int, h http.Header) (relay.Head, instances.ReportedLoad)
	// DecodeHealth decodes the header of the response to a health request.
	DecodeHealth(h http.Header) Health
}

// Routed sends requests to instances. It implements relay.Upstreams. net/http never
// resends these requests, because their body cannot be read twice; requests without
// a body have a reader too for this reason.
type Routed struct {
	dialect  Dialect
	pooled   *http.Transport
	unpooled *http.Transport
	liveness *livenessChecker
	dial     dialFunc
	retained *retainedConns
	// processes tracks the connections of the transports; endJudged is called for each answer that ended with its connection.
	processes *processes
	endJudged func(EndOfAnswer)
}

// NewRouted returns a client of instances.
func NewRouted(o Options, d Dialect) *Routed {
	o = o.withDefaults()
	o.Dial = reportDials(o.Dial, o.Dialed)
	r := &Routed{dialect: d, pooled: o.pooled(), unpooled: o.unpooled(), liveness: newLivenessChecker(o), dial: o.Dial, retained: newRetainedConns(), processes: newProcesses(), endJudged: o.EndJudged}
	tracked := r.processes.track(refuseOutdated(o.Dial))
	r.pooled.DialContext, r.unpooled.DialContext = watchIdle(tracked, o.IdleClosed, r.retained, o.IdleTimeout), tracked
	return r
}

// placedAtKey is the key of the context's value that holds when the upstream of a request was chosen.
type placedAtKey struct{}

// maxPlacementAge is the maximum time from the choice of an upstream until the connection for the request is
// established. Beyond it the process may have been replaced unnoticed, or this node suspended.
const maxPlacementAge = 600 * time.Millisecond

// refuseOutdated returns a dial function that fails with relay.ErrOutdated if the upstream was chosen too long
// before.
func refuseOutdated(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		placedAt, _ := ctx.Value(placedAtKey{}).(time.Time)
		if err != nil || placedAt.IsZero() || time.Since(placedAt) <= maxPlacementAge {
			return c, err
		}
		_ = c.Close() // nothing was sent on it
		return nil, relay.ErrOutdated
	}
}

// reportDials returns a dial function that calls dialed for each attempt that was not canceled.
func reportDials(dial dialFunc, dialed func(address string, startedAt time.Time, opened bool)) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		startedAt := time.Now()
		c, err := dial(ctx, network, address)
		if err == nil || ctx.Err() == nil {
			dialed(address, startedAt, err == nil)
		}
		return c, err
	}
}

// Connect opens and closes a connection to an upstream. It sends no request.
func (r *Routed) Connect(ctx context.Context, address string) error {
	c, err := r.dial(ctx, "tcp", address)
	if err != nil {
		return errkind.New(errkind.PeerUnreachable, "connect to %s: %w", address, err)
	}
	_ = c.Close() // nothing was sent on it
	return nil
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Close closes idle connections.
func (r *Routed) Close() {
	r.retained.close()
	r.pooled.CloseIdleConnections()
}

// Send implements relay.Upstreams. At-most-once requests use a new connection: if
// the upstream closed a reused one at the same time, it would be unknown whether
// the request ran.
func (r *Routed) Send(ctx context.Context, to *instances.Instance, c *relay.Call) (relay.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	use := newConnUse()
	use.process = keyOf(to)
	req := r.request(context.WithValue(httptrace.WithClientTrace(ctx, use.trace()), placedAtKey{}, c.PlacedAt), to, c)
	transport := r.pooled
	if c.Route.Kind == routes.AtMostOnce || c.SingleUse {
		transport = r.unpooled
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		use.release()
		unreachable := use.gotAt.Load() == nil // also if the request's time ended before
		cancel()
		if unreachable && errors.Is(err, relay.ErrOutdated) {
			return nil, err
		}
		if unreachable {
			return nil, errkind.New(errkind.PeerUnreachable, "connect to %s: %w", to.Address, markRefused(err))
		}
		return nil, errkind.New(errkind.UpstreamFailed, "send to %s: %w", to.Address, markClosed(err))
	}
	if !relay.ValidStatus(resp.StatusCode) {
		_ = resp.Body.Close() // nothing of it counts
		use.release()
		cancel()
		return nil, errkind.New(errkind.UpstreamFailed, "answer of %s with status %03d, which is none", to.Address, resp.StatusCode)
	}
	use.recordTimeout(resp.Header)
	head, load := r.dialect.DecodeResponse(resp.StatusCode, resp.Header)
	head.Status = resp.StatusCode
	head.Header = EndToEnd(resp.Header)
	head.ContentLength = resp.ContentLength
	head.Framing = framing(resp)
	head.Reused, head.ConnectedAt = use.reused.Load(), use.connectedAt()
	if !head.Misdirected {
		use.confirm()
	}
	return &routedAnswer{
		resp: resp, cancel: cancel, head: head, load: load, buffer: buffers.Get().(*[]byte),
		isWritten: func() error { return use.checkWritten(ctx) },
		checkEnd: func(at time.Time) error {
			return r.checkEnd(ctx, ending{process: use.process, conn: use.tracked(), at: at, leaving: c.Leaving})
		},
		release: use.release,
	}, nil
}

// framing returns how the end of the response is indicated.
func framing(resp *http.Response) relay.Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return relay.FramedByChunks
	case delimited(resp):
		return relay.FramedByLength
	}
	return relay.FramedByClose
}

func (r *Routed) request(ctx context.Context, to *instances.Instance, c *relay.Call) *http.Request {
	h := http.Header(c.Header).Clone()
	if h == nil {
		h = make(http.Header)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // prevents net/http from adding its default
	}
	hideIdempotencyHeaders(h)
	r.dialect.EncodeRequest(h, to, c)
	req := &http.Request{
		Method: c.Method, URL: targetURL(to.Address, c.RequestTarget), Host: c.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(c.Body)), ContentLength: int64(len(c.Body)),
	}
	return req.WithContext(ctx)
}

// targetURL returns a URL that is sent with exactly the bytes of target.
func targetURL(address, target string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address}
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return u
	}
	// net/url encodes an opaque part that begins with two slashes in absolute form.
	path, query, found := strings.Cut(target, "?")
	u.RawPath, u.RawQuery, u.ForceQuery = path, query, found && query == ""
	if decoded, err := url.PathUnescape(path); err == nil {
		u.Path = decoded
	} else {
		u.Path = path // invalid escape sequence: sent unchanged
	}
	return u
}

// bufferBytes is the size of a read buffer, enough for several events of a stream.
const bufferBytes = 4 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferBytes); return &b }}

// routedAnswer implements relay.Answer.
type routedAnswer struct {
	resp   *http.Response
	cancel context.CancelFunc
	head   relay.Head
	load   instances.ReportedLoad
	buffer *[]byte
	ended  bool
	// isWritten returns an error unless the whole request was written.
	isWritten func() error
	// checkEnd returns an error unless the answer, whose connection ended at a time, is complete.
	checkEnd func(at time.Time) error
	// release ends the use of the connection.
	release func()
	// connEndedAt is when the connection ended, with which the answer ends.
	connEndedAt time.Time
}

func (a *routedAnswer) Head() relay.Head { return a.head }

func (a *routedAnswer) ReportedLoad() instances.ReportedLoad { return a.load }

func (a *routedAnswer) SendCount() int { return 1 }

// Next implements relay.Answer. net/http returns io.ErrUnexpectedEOF for a response
// that is shorter than its framing specifies, and an error for a connection reset. The end
// of one that is framed by the end of the connection counts only if the request was written
// and checkEnd returns no error; its last bytes are returned before.
func (a *routedAnswer) Next() ([]byte, error) {
	n, err := a.resp.Body.Read(*a.buffer)
	b := (*a.buffer)[:n]
	if !errors.Is(err, io.EOF) {
		return b, markClosed(err)
	}
	a.ended = true
	if a.connEndedAt.IsZero() {
		a.connEndedAt = time.Now()
	}
	if a.head.Framing != relay.FramedByClose {
		return b, io.EOF
	}
	if n > 0 {
		return b, nil // the next call gets io.EOF from the body again
	}
	if err := a.isWritten(); err != nil {
		return nil, markClosed(err)
	}
	if err := a.checkEnd(a.connEndedAt); err != nil {
		return nil, markClosed(err)
	}
	return nil, io.EOF
}

// markClosed marks an error that means that the upstream closed or reset the connection.
// Time-outs don't: they may be caused by the network.
func markClosed(err error) error {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errNotRunning, errProcessEnded, errNotWritten} {
		if errors.Is(err, closed) {
			return relay.ConnectionClosed(err)
		}
	}
	return err
}

// markRefused marks an error that means that no process accepts connections.
func markRefused(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return relay.ConnectionRefused(err)
	}
	return err
}

// Close releases the connection. If the response was not read to its end, the
// connection is closed, so that the remaining bytes cannot be mistaken for another
// response.
func (a *routedAnswer) Close() {
	if !a.ended {
		a.cancel()
	}
	a.release()
	_ = a.resp.Body.Close() // the body is no longer needed
	a.cancel()
	if a.buffer != nil {
		buffers.Put(a.buffer)
		a.buffer = nil
	}
}

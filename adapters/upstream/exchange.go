package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/relay"
)

// exchange is one request and its response, with a timer that cancels it when there
// is no progress. The timer runs only while the exchange waits for bytes, so a slow
// reader does not make the upstream appear unresponsive.
type exchange struct {
	parent   context.Context
	cancel   context.CancelFunc
	timer    *time.Timer
	progress time.Duration
	silent   atomic.Bool
	gotConn  atomic.Bool
	resp     *http.Response

	mu       sync.Mutex // guards headDone, and the timer until headDone is set
	headDone bool
}

// start sends the request and waits for the response header.
func start(ctx context.Context, rt http.RoundTripper, o Options, req *http.Request) (*exchange, error) {
	x := &exchange{parent: ctx, progress: o.ProgressTimeout}
	ctx, x.cancel = context.WithCancel(ctx)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.gotConn.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	x.timer = time.AfterFunc(o.HeaderTimeout, func() {
		x.silent.Store(true)
		x.cancel()
	})
	if req.Body != nil && req.Body != http.NoBody && req.GetBody == nil {
		req.Body = &upload{ReadCloser: req.Body, x: x, limit: o.HeaderTimeout}
	}
	resp, err := rt.RoundTrip(req)
	x.endHead()
	if err != nil {
		x.cancel()
		return nil, x.headError(err)
	}
	if !relay.ValidStatus(resp.StatusCode) {
		x.cancel()
		_ = resp.Body.Close() // nothing of it counts
		return nil, errkind.New(errkind.UpstreamFailed, "answer with status %03d, which is none", resp.StatusCode).WithRun(domain.RunUnknown)
	}
	x.resp = resp
	return x, nil
}

// upload is a streamed request body. It stops the timer while it waits for the
// caller, because that delay is not caused by the upstream.
type upload struct {
	io.ReadCloser
	x     *exchange
	limit time.Duration
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.x.updateHeadTimer(func(t *time.Timer) { t.Stop() })
	n, err := u.ReadCloser.Read(p)
	u.x.updateHeadTimer(func(t *time.Timer) { t.Reset(u.limit) })
	return n, err
}

// updateHeadTimer calls change with the timer if the response header has not
// arrived.
func (x *exchange) updateHeadTimer(change func(*time.Timer)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.headDone {
		change(x.timer)
	}
}

func (x *exchange) endHead() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.headDone = true
	x.timer.Stop()
}

// Read reads the response body, subject to the progress timeout.
func (x *exchange) Read(p []byte) (int, error) {
	x.timer.Reset(x.progress)
	n, err := x.resp.Body.Read(p)
	x.timer.Stop()
	return n, err
}

// headError classifies a failure before the response header arrived. Without a
// connection, no byte of the request was sent.
func (x *exchange) headError(err error) error {
	e := errkind.New(x.kind(errkind.UpstreamFailed), "send request: %w", err)
	if !x.gotConn.Load() {
		return e.WithRun(domain.RunNo)
	}
	return e.WithRun(domain.RunUnknown)
}

// bodyError classifies a failure after the response header arrived.
func (x *exchange) bodyError(err error) error {
	return errkind.New(x.kind(errkind.Truncated), "read response: %w", err)
}

// kind returns the error kind of a timeout or cancellation, or fallback if there
// was neither.
func (x *exchange) kind(fallback errkind.Kind) errkind.Kind {
	switch {
	case x.silent.Load():
		return errkind.UpstreamSilent
	case errors.Is(x.parent.Err(), context.DeadlineExceeded):
		return errkind.Timeout
	case x.parent.Err() != nil:
		return errkind.Canceled
	}
	return fallback
}

// close cancels the exchange and releases its connection.
func (x *exchange) close() {
	x.timer.Stop()
	x.cancel()
	_ = x.resp.Body.Close() // the body is no longer needed
}

func (x *exchange) head(up domain.UpstreamRef) answer.Head {
	return answer.Head{
		Status: x.resp.StatusCode,
		Header: EndToEnd(x.resp.Header),
		RanOn:  up.ID,
		RanIn:  up.Place,
	}
}

// delimited reports whether the end of the body can be distinguished from a lost
// connection: it has a length, uses chunked encoding or is empty.
func delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || resp.Body == http.NoBody || len(resp.TransferEncoding) > 0
}

const bodyChunkBytes = 32 << 10

// bodyStream is a response that ends with the HTTP body.
type bodyStream struct {
	x         *exchange
	up        domain.UpstreamRef
	buf       []byte
	failed    error
	abandoned func() // called if the stream is closed before its end
}

// Head implements answer.Stream.
func (s *bodyStream) Head() answer.Head { return s.x.head(s.up) }

// Next implements answer.Stream.
func (s *bodyStream) Next() ([]byte, error) {
	if s.failed != nil {
		return nil, s.failed
	}
	if s.buf == nil {
		s.buf = make([]byte, bodyChunkBytes)
	}
	for {
		n, err := s.x.Read(s.buf)
		if err != nil {
			s.failed = s.end(err)
		}
		if n > 0 {
			return s.buf[:n], nil
		}
		if s.failed != nil {
			return nil, s.failed
		}
	}
}

func (s *bodyStream) end(err error) error {
	if err == io.EOF && delimited(s.x.resp) {
		return io.EOF
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return s.x.bodyError(err)
}

// Close implements answer.Stream.
func (s *bodyStream) Close() error {
	s.x.close()
	if s.failed == nil && s.abandoned != nil {
		s.abandoned()
	}
	s.failed = errClosed
	return nil
}

var errClosed error = errkind.New(errkind.Canceled, "the response stream is closed")

// Package platform implements the platform's ports over HTTP and JSON. A
// failure to reach the platform is of kind store_unavailable; its verdict is
// "unknown" when a write may have taken effect.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/adapters/platform/wire"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	defaultCallTimeout = 2 * time.Second
	defaultPollWait    = 30 * time.Second
	idleConnTimeout    = 30 * time.Second
	maxIdleConns       = 8
	maxAnswerBytes     = 64 << 20
)

// Options tunes a Client; zero fields take their defaults.
type Options struct {
	// CallTimeout bounds each call, and the time by which the answer of a
	// long poll may be late.
	CallTimeout time.Duration
	// PollWait is how long one long poll of a watch waits.
	PollWait time.Duration
	// Transport replaces the HTTP transport, for instance in tests.
	Transport http.RoundTripper
}

// Client talks to one platform. It is safe for concurrent use.
type Client struct {
	base        string
	http        *http.Client
	callTimeout time.Duration
	pollWait    time.Duration
}

// New returns a client of the platform at baseURL, for instance
// "http://10.0.0.1:7000".
func New(baseURL string, o Options) *Client {
	c := &Client{
		base:        strings.TrimSuffix(baseURL, "/"),
		callTimeout: o.CallTimeout,
		pollWait:    o.PollWait,
	}
	if c.callTimeout <= 0 {
		c.callTimeout = defaultCallTimeout
	}
	if c.pollWait <= 0 {
		c.pollWait = defaultPollWait
	}
	rt := o.Transport
	if rt == nil {
		rt = newTransport(c.callTimeout)
	}
	c.http = &http.Client{Transport: rt}
	return c
}

func newTransport(dialTimeout time.Duration) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleConnTimeout / 2}
	return &http.Transport{
		DialContext:         d.DialContext,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
	}
}

// KV returns the key-value service.
func (c *Client) KV() ports.KV { return kv{c} }

// VMList returns the VM list.
func (c *Client) VMList() ports.VMList { return vmList{c} }

// Directory returns the directory for clients.
func (c *Client) Directory() ports.Directory { return directory{c} }

// WeightStore returns the weight store.
func (c *Client) WeightStore() ports.WeightStore { return weightStore{c} }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// callKind tells calls that change the platform's state from those that don't.
type callKind bool

const (
	read  callKind = false
	write callKind = true
)

// post sends one call and decodes its answer into out. On an error answer it
// returns the decoded wire.Error too.
func (c *Client) post(ctx context.Context, k callKind, path string, in, out any) (*wire.Error, error) {
	return c.postWithin(ctx, c.callTimeout, k, path, in, out)
}

func (c *Client) postWithin(ctx context.Context, limit time.Duration, k callKind, path string, in, out any) (*wire.Error, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errkind.New(errkind.Internal, "encode %s: %w", path, err).WithRun(domain.RunNo)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.New(errkind.Internal, "build %s: %w", path, err).WithRun(domain.RunNo)
	}
	req.Header.Set("Content-Type", "application/json")
	if k == read {
		// Lets net/http send the call again when a pooled connection proves
		// stale; an empty list is not sent as a header.
		req.Header["X-Idempotency-Key"] = []string{}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, unavailable(k, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, unavailable(k, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(k, path, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return nil, unavailable(k, path, err)
	}
	return nil, nil
}

// decodeError trusts a typed error of the platform; anything else, such as the
// page of a middlebox, tells nothing about a write.
func decodeError(k callKind, path string, status int, data []byte) (*wire.Error, error) {
	var e wire.Error
	if err := json.Unmarshal(data, &e); err != nil || e.Kind == "" {
		return nil, errkind.New(errkind.StoreUnavailable, "%s: status %d", path, status).WithRun(verdict(k))
	}
	return &e, errkind.New(e.Kind, "%s: %s", path, e.Message).WithRun(e.Run)
}

func unavailable(k callKind, path string, err error) error {
	e := errkind.New(errkind.StoreUnavailable, "%s: %w", path, err)
	if isDialError(err) {
		return e.WithRun(domain.RunNo)
	}
	return e.WithRun(verdict(k))
}

func verdict(k callKind) domain.Run {
	if k == write {
		return domain.RunUnknown
	}
	return domain.RunNo
}

// isDialError reports whether err arose before a connection existed.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Package platform implements the platform ports with an HTTP/JSON client. If the
// platform cannot be reached, calls fail with kind store_unavailable; the error's
// verdict is "unknown" if a mutating call may have taken effect.
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
	maxResponseBytes   = 64 << 20
)

// Options configures a Client. Fields that are zero take their defaults.
type Options struct {
	// CallTimeout is the time limit of each call. For a long poll it is added to
	// PollWait.
	CallTimeout time.Duration
	// PollWait is the time that the server may hold one long poll of a watch.
	PollWait time.Duration
	// Transport is the HTTP transport; nil selects the default. Tests replace it.
	Transport http.RoundTripper
}

// Client is a client of one platform. It is safe for concurrent use.
type Client struct {
	baseURL     string
	http        *http.Client
	callTimeout time.Duration
	pollWait    time.Duration
}

// New returns a client for the platform at baseURL, for instance
// "http://10.0.0.1:7000".
func New(baseURL string, opts Options) *Client {
	c := &Client{
		baseURL:     strings.TrimSuffix(baseURL, "/"),
		callTimeout: opts.CallTimeout,
		pollWait:    opts.PollWait,
	}
	if c.callTimeout <= 0 {
		c.callTimeout = defaultCallTimeout
	}
	if c.pollWait <= 0 {
		c.pollWait = defaultPollWait
	}
	transport := opts.Transport
	if transport == nil {
		transport = newTransport(c.callTimeout)
	}
	c.http = &http.Client{Transport: transport}
	return c
}

func newTransport(dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleConnTimeout / 2}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
	}
}

// KV returns the key-value service.
func (c *Client) KV() ports.KV { return kv{c} }

// VMList returns the VM list.
func (c *Client) VMList() ports.VMList { return vmList{c} }

// Directory returns the directory that lists the entry nodes for clients.
func (c *Client) Directory() ports.Directory { return directory{c} }

// WeightStore returns the weight store.
func (c *Client) WeightStore() ports.WeightStore { return weightStore{c} }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// callKind distinguishes calls that change the platform's state from those that do
// not.
type callKind bool

const (
	readCall     callKind = false
	mutatingCall callKind = true
)

// post sends one call and decodes the response into out. For an error response it
// also returns the decoded wire.Error.
func (c *Client) post(ctx context.Context, kind callKind, path string, in, out any) (*wire.Error, error) {
	return c.postWithTimeout(ctx, c.callTimeout, kind, path, in, out)
}

func (c *Client) postWithTimeout(ctx context.Context, timeout time.Duration, kind callKind, path string, in, out any) (*wire.Error, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errkind.New(errkind.Internal, "encode %s: %w", path, err).WithRun(domain.RunNo)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.New(errkind.Internal, "build %s: %w", path, err).WithRun(domain.RunNo)
	}
	req.Header.Set("Content-Type", "application/json")
	if kind == readCall {
		// This lets net/http retry the call if a pooled connection turns out to be
		// closed. A header with an empty list of values is not sent.
		req.Header["X-Idempotency-Key"] = []string{}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, unavailableError(kind, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, unavailableError(kind, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(kind, path, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return nil, unavailableError(kind, path, err)
	}
	return nil, nil
}

// decodeError returns the error of a response. It trusts the verdict of a typed
// platform error. Any other response, such as the error page of a middlebox, does
// not show whether a mutating call took effect.
func decodeError(kind callKind, path string, status int, data []byte) (*wire.Error, error) {
	var e wire.Error
	if err := json.Unmarshal(data, &e); err != nil || e.Kind == "" {
		return nil, errkind.New(errkind.StoreUnavailable, "%s: status %d", path, status).WithRun(verdict(kind))
	}
	return &e, errkind.New(e.Kind, "%s: %s", path, e.Message).WithRun(e.Run)
}

func unavailableError(kind callKind, path string, err error) error {
	e := errkind.New(errkind.StoreUnavailable, "%s: %w", path, err)
	if isDialError(err) {
		return e.WithRun(domain.RunNo)
	}
	return e.WithRun(verdict(kind))
}

// verdict returns the verdict on a call that may have reached the platform.
func verdict(kind callKind) domain.Run {
	if kind == mutatingCall {
		return domain.RunUnknown
	}
	return domain.RunNo
}

// isDialError reports whether err occurred before a connection was established.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

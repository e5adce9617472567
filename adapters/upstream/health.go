package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Health is what an upstream says of itself in its response to a health request.
type Health struct {
	// Instance is the ID of the upstream that responded.
	Instance domain.UpstreamID
	// ColdFor is the remaining time for which it is cold.
	ColdFor time.Duration
	// Brittle and MaxRejections are as in instances.ReportedLoad.
	Brittle       bool
	MaxRejections int
	// Leaving is set if it says that it leaves.
	Leaving bool
	// Healthy is set if it considers itself healthy.
	Healthy bool
}

// maxHealthBytes is how much of the body of a health response is read, so that its connection can be
// used again.
const maxHealthBytes = 4 << 10

// CheckHealth sends a health request. An upstream that is busy or unhealthy says as much of its cold phase as another one. The
// error matches relay.ErrConnectionRefused if no process accepts connections.
func (r *Routed) CheckHealth(ctx context.Context, address, path string) (Health, error) {
	var use connUse
	req := (&http.Request{Method: http.MethodGet, URL: targetURL(address, path), Host: address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"User-Agent": nil}}).WithContext(httptrace.WithClientTrace(ctx, use.trace()))
	resp, err := r.pooled.RoundTrip(req)
	if err != nil {
		return Health{}, errkind.New(errkind.UpstreamFailed, "health request to %s: %w", address, markRefused(err))
	}
	defer resp.Body.Close()
	use.recordTimeout(resp.Header)
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBytes)) // only its end matters
	health := r.dialect.DecodeHealth(resp.Header)
	health.Healthy = resp.StatusCode == http.StatusOK
	return health, nil
}

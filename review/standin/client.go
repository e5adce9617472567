package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// client is a caller that keeps one connection to a node.
type client struct {
	transport *http.Transport
	address   string
	rec       *recorder
}

// result is what the caller got.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	// err is set if the answer did not end, or if there was none.
	err error
	// kept is set if the request went out on a connection that had served another one before.
	kept bool
	took time.Duration
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s: status %d, %d bytes, then %v, after %v", r.id, r.status, len(r.body), r.err, r.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%s: status %d, %d bytes, complete, after %v", r.id, r.status, len(r.body), r.took.Round(time.Millisecond))
}

var requests atomic.Int64

func (f *fleet) client(n *node) *client {
	return &client{transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}, address: n.front, rec: f.rec}
}

// send makes one request and reads the answer. It never sends a request twice.
func (c *client) send(target string, deadline time.Duration, body []byte, header ...string) result {
	id := fmt.Sprintf("9c41d07be2%06x", requests.Add(1))
	r := result{id: id}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { r.kept = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+target, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.GetBody, req.Host = nil, callerHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	c.rec.log("sent %s %s to %s, body of %d bytes", id, target, c.address, len(body))
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		r.status, r.header, r.body = resp.StatusCode, resp.Header, string(content)
	}
	r.err, r.took = err, time.Since(start)
	c.rec.log("answered %v", r)
	return r
}

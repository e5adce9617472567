package benchmarks

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

const (
	model = "bench-model"
	key   = "bench-key"
)

// startFleet starts one node and its engines in one failure domain.
func startFleet(b *testing.B, engines int, engine enginesim.Config) *fleet.Fleet {
	b.Helper()
	f := startFleetWith(b, engines, engine, func(*node.Config) {})
	b.Cleanup(f.Close)
	return f
}

// startFleetWith is startFleet with a function that adjusts the node's configuration.
// The caller must close the fleet.
func startFleetWith(b *testing.B, engines int, engine enginesim.Config, adjust func(*node.Config)) *fleet.Fleet {
	b.Helper()
	engine.Models = []string{model}
	place := domain.Place{Region: "r", FailureDomain: "r-a"}
	f, err := fleet.Start(fleet.Config{
		Domains:  []fleet.Domain{{Place: place, Nodes: 1, Engines: engines, Engine: engine}},
		Document: benchLists(),
		Adjust: func(c *node.Config) {
			c.RequestTimeout = time.Hour
			adjust(c)
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return f
}

// benchLists returns lists that let one customer use the benchmark model.
func benchLists() lists.Document {
	return lists.Document{
		Regions:   []domain.Region{"r"},
		Customers: []lists.Customer{{ID: "c", Plan: "p", KeyHashes: []string{lists.HashKey(key)}}},
		Plans:     []lists.Plan{{ID: "p", Models: []string{model}, Regions: []domain.Region{"r"}}},
	}
}

func listenLoopback() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// freeAddress returns a loopback address whose port was free when it was checked.
func freeAddress(b *testing.B) string {
	b.Helper()
	l, err := listenLoopback()
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newClient returns a client that keeps up to the given number of idle connections to
// one host.
func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: connections, MaxIdleConnsPerHost: connections, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 10 * time.Second}).DialContext,
	}}
}

// chatBody returns the body of a chat request.
func chatBody(stream bool, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"a short question"}]}`, model, stream, tokens)
}

// post sends a chat request, with a request id unless it is empty. It returns an error
// unless the status is 200.
func post(client *http.Client, address string, body []byte, id string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return resp, nil
}

// errTruncated is the error of a stream that ends early.
var errTruncated = errors.New("stream ended without a terminal event")

// readStream reads a stream up to its terminal event and returns the number of data
// events.
func readStream(r io.Reader) (events int, err error) {
	br := bufio.NewReaderSize(r, 64<<10)
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return events, errors.Join(errTruncated, err)
		}
		if bytes.HasPrefix(line, []byte("data: [DONE]")) {
			return events, nil
		}
		if bytes.HasPrefix(line, []byte("data:")) {
			events++
		}
	}
}

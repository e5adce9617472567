package operatorcli

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// maxResponseBytes is the maximum size of a node's response.
const maxResponseBytes = 16 << 20

// Admin sends requests to the admin addresses of nodes.
type Admin struct {
	Client *http.Client
}

// get requests path from the node with the given admin address (host:port) and
// decodes the JSON response into out.
func (a Admin) get(ctx context.Context, address, path string, out any) error {
	target := url.URL{Scheme: "http", Host: address, Path: path}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errkind.New(errkind.BadRequest, "admin address %q: %w", address, err)
	}
	response, err := a.Client.Do(request)
	if err != nil {
		return errkind.New(errkind.PeerUnreachable, "node at %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return errkind.New(errkind.Truncated, "node at %s: %w", address, err)
	case len(body) > maxResponseBytes:
		return errkind.New(errkind.BodyTooLarge, "node at %s: response is larger than %d bytes", address, maxResponseBytes)
	case response.StatusCode != http.StatusOK:
		return nodeError(address, response.StatusCode, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errkind.New(errkind.Internal, "node at %s: decode response: %w", address, err)
	}
	return nil
}

func nodeError(address string, status int, body []byte) error {
	var f adminapi.Failure
	if err := json.Unmarshal(body, &f); err != nil || f.Kind == "" {
		return errkind.New(errkind.Internal, "node at %s: HTTP status %d", address, status)
	}
	return errkind.New(f.Kind, "node at %s: %s", address, f.Message).WithRun(f.Run)
}

// nodeResponse is the response of one node, or its error.
type nodeResponse[T any] struct {
	address string
	value   *T
	err     error
}

// queryAll sends a request to all nodes concurrently and returns the responses in
// the order of the addresses.
func queryAll[T any](ctx context.Context, a Admin, addresses []string, path string) []nodeResponse[T] {
	responses := make([]nodeResponse[T], len(addresses))
	done := make(chan struct{})
	for i, address := range addresses {
		go func() {
			value := new(T)
			err := a.get(ctx, address, path, value)
			responses[i] = nodeResponse[T]{address: address, value: value, err: err}
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
	return responses
}

func requireAddresses(addresses []string) error {
	if len(addresses) == 0 {
		return errkind.New(errkind.BadRequest, "at least one admin address is required: --admin host:port")
	}
	return nil
}

func isKind(err error, kind errkind.Kind) bool {
	return errors.Is(err, errkind.Of(kind))
}

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

// maxAnswerBytes bounds a node's answer.
const maxAnswerBytes = 16 << 20

// Admin asks nodes on their admin addresses.
type Admin struct {
	Client *http.Client
}

// get reads the JSON at path of the node with this admin address (host:port).
func (a Admin) get(ctx context.Context, address, path string, into any) error {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return errkind.New(errkind.Truncated, "node at %s: %w", address, err)
	case len(body) > maxAnswerBytes:
		return errkind.New(errkind.BodyTooLarge, "node at %s: the answer is larger than %d bytes", address, maxAnswerBytes)
	case response.StatusCode != http.StatusOK:
		return nodeFailure(address, response.StatusCode, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errkind.New(errkind.Internal, "node at %s: the answer is not readable: %w", address, err)
	}
	return nil
}

func nodeFailure(address string, status int, body []byte) error {
	var f adminapi.Failure
	if err := json.Unmarshal(body, &f); err != nil || f.Kind == "" {
		return errkind.New(errkind.Internal, "node at %s: HTTP status %d", address, status)
	}
	return errkind.New(f.Kind, "node at %s: %s", address, f.Message).WithRun(f.Run)
}

// answer is what one node answered.
type answer[T any] struct {
	address string
	value   *T
	err     error
}

// askAll asks every node at once and returns the answers in the order of the
// addresses.
func askAll[T any](ctx context.Context, a Admin, addresses []string, path string) []answer[T] {
	answers := make([]answer[T], len(addresses))
	done := make(chan struct{})
	for i, address := range addresses {
		go func() {
			value := new(T)
			err := a.get(ctx, address, path, value)
			answers[i] = answer[T]{address: address, value: value, err: err}
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
	return answers
}

func checkAddresses(addresses []string) error {
	if len(addresses) == 0 {
		return errkind.New(errkind.BadRequest, "name the admin address of one node at least: --admin host:port")
	}
	return nil
}

func isKind(err error, kind errkind.Kind) bool {
	return errors.Is(err, errkind.Of(kind))
}

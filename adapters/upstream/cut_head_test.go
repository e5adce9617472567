package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// cuttingUpstream answers the requests on each connection with the given answers in turn,
// and then one with the first cut bytes of text; then it closes the connection.
func cuttingUpstream(t *testing.T, answers []string, text string, cut *atomic.Int64) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for _, answer := range append(slices.Clone(answers), text[:cut.Load()]) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body) // a failure shows in the next read
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// TestHeadThatIsCutOffIsNoAnswer guards against an answer whose upstream stops inside its
// head and closes the connection, and that is delivered as a success with an empty or
// short body. It cuts heads at each byte, on new and on reused connections.
func TestHeadThatIsCutOffIsNoAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	heads := map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 120\r\n\r\n",
		"length first":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Response-Seal: s1\r\n\r\n",
		"chunks":         "HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"neither":        "HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\n\r\n",
		"bare newlines":  "HTTP/1.1 200 OK\nX-Response-Seal: s1\nContent-Length: 0\n\n",
		"no content":     "HTTP/1.1 204 No Content\r\nX-Response-Seal: s1\r\n\r\n",
		"interim answer": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	}
	routed := NewRouted(Options{}, plainDialect{})
	defer routed.Close()
	service := NewService(Options{})
	defer service.Close()
	ctx := context.Background()
	send := func(address string, kind routes.Kind) (io.Closer, error) {
		answer, err := routed.Send(ctx, &instances.Instance{Address: address}, &relay.Call{Request: &relay.Request{
			Message: relay.Message{Method: http.MethodPost, RequestTarget: "/"}, Route: &routes.Route{Kind: kind}}})
		if err != nil {
			return nil, err
		}
		for err == nil {
			_, err = answer.Next()
		}
		return closerFunc(answer.Close), nil
	}
	call := func(address string, repeatable bool) (io.Closer, error) {
		s, err := service.Call(ctx, domain.UpstreamRef{Address: address}, ports.ServiceRequest{Method: http.MethodPost, Path: "/", Repeatable: repeatable})
		if err != nil {
			return nil, err
		}
		for err == nil {
			_, err = s.Next()
		}
		return s, nil
	}
	clients := map[string]struct {
		call func(address string) (io.Closer, error)
		// pooled is set if the client uses connections again.
		pooled bool
	}{
		"repeatable request":             {func(a string) (io.Closer, error) { return send(a, routes.Idempotent) }, true},
		"at-most-once request":           {func(a string) (io.Closer, error) { return send(a, routes.AtMostOnce) }, false},
		"repeatable call, own interface": {func(a string) (io.Closer, error) { return call(a, true) }, true},
		"call, own interface":            {func(a string) (io.Closer, error) { return call(a, false) }, false},
	}
	for headName, head := range heads {
		for clientName, client := range clients {
			t.Run(fmt.Sprintf("%s, %s", headName, clientName), func(t *testing.T) {
				var first []string
				if client.pooled {
					first = []string{whole}
				}
				var end atomic.Int64
				address := cuttingUpstream(t, first, head, &end)
				for cut := range len(head) {
					end.Store(int64(cut))
					if client.pooled {
						answer, err := client.call(address)
						if err != nil {
							t.Fatalf("whole answer: %v", err)
						}
						_ = answer.Close()
					}
					if answer, err := client.call(address); err == nil {
						_ = answer.Close()
						t.Errorf("got an answer from the first %d bytes of its head, %q", cut, head[:cut])
					}
				}
				if client.pooled {
					return // the whole head may end the connection before its reuse
				}
				end.Store(int64(len(head)))
				answer, err := client.call(address)
				if err != nil {
					t.Fatalf("whole head: got error %v, want an answer", err)
				}
				_ = answer.Close()
			})
		}
	}
}

type closerFunc func()

func (f closerFunc) Close() error { f(); return nil }

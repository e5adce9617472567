package upstream

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// plainDialect adds no headers and takes every answer as signed.
type plainDialect struct{}

func (plainDialect) EncodeRequest(http.Header, *instances.Instance, *relay.Call) {}
func (plainDialect) DecodeResponse(int, http.Header) (relay.Head, instances.ReportedLoad) {
	return relay.Head{Signed: true}, instances.ReportedLoad{}
}

// endlessUpstream accepts connections and writes prefix, then repeats text until the
// connection is closed.
func endlessUpstream(t *testing.T, prefix, text string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := conn.Read(make([]byte, 1)); err != nil { // awaits the request
					return
				}
				_, err := conn.Write([]byte(prefix))
				for err == nil {
					_, err = conn.Write([]byte(text))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestHeadsWithoutEndAreRefused opens 200 connections to upstreams that send bytes which
// are no answer without an end. All must fail soon, and within the memory of a small
// node (184 MB), of which they may take a third.
func TestHeadsWithoutEndAreRefused(t *testing.T) {
	const connections, maxHeapBytes = 200, 60 << 20
	filler := strings.Repeat("x", 4096)
	for name, c := range map[string]struct{ prefix, text string }{
		"a header line without end":   {"HTTP/1.1 200 OK\r\nX-Long: ", filler},
		"header lines without end":    {"HTTP/1.1 200 OK\r\n", "X-More: " + filler + "\r\n"},
		"a status line without end":   {"HTTP/1.1 200 ", filler},
		"interim answers without end": {"", "HTTP/1.1 103 Early Hints\r\nX-More: " + filler + "\r\n\r\n"},
		"bytes that are no answer":    {"", filler},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewRouted(Options{}, plainDialect{})
			defer client.Close()
			address := endlessUpstream(t, c.prefix, c.text)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var peak uint64
			stop := make(chan struct{})
			var watching sync.WaitGroup
			watching.Go(func() {
				for {
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					peak = max(peak, m.HeapInuse)
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
				}
			})
			var calls sync.WaitGroup
			for range connections {
				calls.Go(func() {
					answer, err := client.Send(ctx, &instances.Instance{Address: address}, &relay.Call{Request: &relay.Request{
						Message: relay.Message{Method: "POST", RequestTarget: "/"}, Route: &routes.Route{Kind: routes.AtMostOnce}}})
					if err == nil {
						answer.Close()
						t.Error("got an answer from a head without end")
					}
				})
			}
			calls.Wait()
			close(stop)
			watching.Wait()
			if ctx.Err() != nil {
				t.Error("the connections ended at the deadline, not at a limit")
			}
			if peak > maxHeapBytes {
				t.Errorf("%d connections took %d MB, want at most %d MB", connections, peak>>20, maxHeapBytes>>20)
			}
		})
	}
}

func (plainDialect) DecodeHealth(http.Header) Health { return Health{} }

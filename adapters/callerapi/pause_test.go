package callerapi_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/gateway"
)

// pausingGateway answers in two chunks with a pause between them.
type pausingGateway time.Duration

func (p pausingGateway) Serve(_ context.Context, _ *gateway.Request, w answer.Writer) error {
	if err := w.WriteHead(answer.Head{Status: http.StatusOK}); err != nil {
		return err
	}
	if err := w.WriteChunk([]byte("first ")); err != nil {
		return err
	}
	time.Sleep(time.Duration(p))
	return w.WriteChunk([]byte("second"))
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error { return nil }

func (l *singleConnListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "unix"} }

// TestPausingAnswerIsNotAborted pauses an answer for longer than the write timeout of a
// chunk. In HTTP/2 the deadline of the first chunk must not abort the stream during the
// pause.
func TestPausingAnswerIsNotAborted(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				protocols := new(http.Protocols)
				protocols.SetHTTP1(!http2)
				protocols.SetUnencryptedHTTP2(http2)
				api := callerapi.New(callerapi.Config{MaxBodyBytes: 1 << 20, RequestTimeout: time.Hour}, callerapi.Deps{
					Gateway: pausingGateway(time.Minute), Accepting: func() bool { return true },
				})
				clientConn, serverConn := net.Pipe()
				l := &singleConnListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
				l.conns <- serverConn
				server := &http.Server{Handler: api, Protocols: protocols}
				go func() { _ = server.Serve(l) }()
				transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) { return clientConn, nil }}
				body := strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)
				resp, err := (&http.Client{Transport: transport}).Post("http://node/v1/chat/completions", "application/json", body)
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				if string(got) != "first second" || err != nil {
					t.Errorf("got %q with error %v, want both chunks", got, err)
				}
				resp.Body.Close()
				time.Sleep(2 * time.Minute) // lets the handler end in any case
				transport.CloseIdleConnections()
				close(l.done)
				server.Close()
			})
		})
	}
}

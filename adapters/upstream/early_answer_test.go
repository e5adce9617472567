package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// earlyUpstream answers each request once its head has arrived, then resets the connection without having read the body.
func earlyUpstream(t *testing.T, answer string, after time.Duration) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer) // a failure shows at the client
		time.Sleep(after)
		_ = conn.(*net.TCPConn).SetLinger(0)
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

// TestEarlyAnswerThatIsResetDuringTheUploadIsNotComplete guards against a reset that only the write of the body reports.
func TestEarlyAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	body := make([]byte, 16<<20)
	for name, kind := range map[string]routes.Kind{"pooled connection": routes.Idempotent, "new connection": routes.AtMostOnce} {
		client := NewRouted(Options{}, plainDialect{})
		defer client.Close()
		complete := 0
		for i := range 60 {
			address := earlyUpstream(t, "HTTP/1.1 200 OK\r\n\r\npart", time.Duration(i%6)*5*time.Millisecond)
			if text, err := sendBody(client, address, kind, body); errors.Is(err, io.EOF) {
				complete++
				if complete == 1 {
					t.Logf("%s: got %q as a complete answer", name, text)
				}
			}
		}
		if complete > 0 {
			t.Errorf("%s: %d of 60 answers that were reset while the request was being written count as complete, want none", name, complete)
		}
	}
}

// TestAnswerThatEndsWithItsConnectionAfterTheUploadIsComplete is the opposite.
func TestAnswerThatEndsWithItsConnectionAfterTheUploadIsComplete(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return // a connection that checks whether the upstream runs
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			}()
		}
	}()
	client := NewRouted(Options{}, plainDialect{})
	defer client.Close()
	for range 20 {
		if text, err := sendBody(client, l.Addr().String(), routes.AtMostOnce, make([]byte, 4<<20)); text != "whole" || !errors.Is(err, io.EOF) {
			t.Fatalf("got %q and %v, want the whole answer", text, err)
		}
	}
}

// TestAnswerWithoutAStatusIsNoAnswer guards against a head whose status is none of HTTP's, such as 000.
func TestAnswerWithoutAStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		address := earlyUpstream(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 5\r\n\r\nwhole", 50*time.Millisecond)
		client := NewRouted(Options{}, plainDialect{})
		if text, err := sendBody(client, address, routes.AtMostOnce, nil); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("status %s: got the answer %q, want an error", status, text)
		}
		client.Close()
	}
}

// sendBody sends a request with a body and returns the body of the answer, with the error that ended it.
func sendBody(client *Routed, address string, kind routes.Kind, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	answer, err := client.Send(ctx, &instances.Instance{Address: address}, &relay.Call{Request: &relay.Request{
		Message: relay.Message{Method: "POST", RequestTarget: "/", Body: body}, Route: &routes.Route{Kind: kind}}})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	var text []byte
	for {
		b, err := answer.Next()
		text = append(text, b...)
		if err != nil {
			return string(text), err
		}
	}
}

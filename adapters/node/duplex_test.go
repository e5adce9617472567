package node_test

import (
	"io"
	"net/http"
	"testing"
)

// TestFullDuplexResponseIsComplete sends the rest of a request body only after the
// response to its start has arrived.
func TestFullDuplexResponseIsComplete(t *testing.T) {
	f := startBooking(t)
	body, send := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Nodes[0].CallerAddress+"/services/booking/echo", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k")
	go func() { _, _ = io.WriteString(send, "first ") }()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := make([]byte, len("first "))
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatalf("read the response to the start of the body: %v", err)
	}
	go func() {
		_, _ = io.WriteString(send, "second")
		send.Close()
	}()
	rest, err := io.ReadAll(resp.Body)
	if err != nil || string(first)+string(rest) != "first second" {
		t.Errorf("got body %q and error %v, want the whole body", string(first)+string(rest), err)
	}
}

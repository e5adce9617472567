package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// staleServer responds to the first request on each connection. It closes the
// connection after reading the second request completely.
func staleServer() *httptest.Server {
	var served sync.Map
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if _, seen := served.LoadOrStore(r.RemoteAddr, true); seen {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "data: {}\n\ndata: [DONE]\n\n")
	}))
}

// TestGenerationIsResentOnStaleConnection: a generation sent over a pooled connection
// that the engine closes must be resent on a new connection.
func TestGenerationIsResentOnStaleConnection(t *testing.T) {
	server := staleServer()
	defer server.Close()
	engine := NewEngine(Options{})
	defer engine.Close()
	up := domain.UpstreamRef{ID: "engine", Address: strings.TrimPrefix(server.URL, "http://")}
	for i := range 3 {
		s, err := engine.Generate(context.Background(), up, ports.GenerateRequest{RequestID: "r", Body: []byte("{}"), Stream: true})
		if err != nil {
			t.Fatalf("generation %d: %v", i, err)
		}
		if _, err := answer.Copy(discard{}, s); err != nil {
			t.Fatalf("generation %d: %v", i, err)
		}
		s.Close()
	}
}

type discard struct{}

func (discard) WriteHead(answer.Head) error { return nil }

func (discard) WriteChunk([]byte) error { return nil }

package upstream_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// TestGenerationIsCanceledOnlyIfAbandoned: only a stream that is closed before its end
// cancels the generation. A cancel request after a failure could reach the resumed
// generation.
func TestGenerationIsCanceledOnlyIfAbandoned(t *testing.T) {
	cases := []struct {
		name    string
		sent    string
		reads   int
		cancels int32
	}{
		{"closed before its end", "data: a\n\n", 1, 1},
		{"complete", "data: a\n\ndata: [DONE]\n\n", 3, 0},
		{"failed", "data: a\n\n", 3, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var cancels atomic.Int32
			m := http.NewServeMux()
			m.HandleFunc("POST "+upstream.PathCompletions, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, c.sent)
				_ = http.NewResponseController(w).Flush()
				if c.reads == 1 {
					<-r.Context().Done()
				}
			})
			m.HandleFunc("POST "+upstream.PathCancel+"{id}", func(_ http.ResponseWriter, r *http.Request) {
				if r.PathValue("id") == "r1" {
					cancels.Add(1)
				}
			})
			server := httptest.NewServer(m)
			defer server.Close()
			e := upstream.NewEngine(upstream.Options{})
			up := domain.UpstreamRef{Address: server.Listener.Addr().String()}
			s, err := e.Generate(t.Context(), up, ports.GenerateRequest{RequestID: "r1", Stream: true})
			if err != nil {
				t.Fatal(err)
			}
			for range c.reads {
				_, _ = s.Next()
			}
			s.Close()
			e.Close()
			if n := cancels.Load(); n != c.cancels {
				t.Errorf("got %d cancel requests, want %d", n, c.cancels)
			}
		})
	}
}

// BenchmarkGenerateStream receives a generation over the loopback interface. One
// operation is one event; the engine sends 100 events per write.
func BenchmarkGenerateStream(b *testing.B) {
	sim := enginesim.New(enginesim.Config{Models: []string{"m"}, EventsPerFlush: 100, DefaultTokens: b.N})
	server := httptest.NewServer(sim)
	defer server.Close()
	e := upstream.NewEngine(upstream.Options{})
	defer e.Close()
	up := domain.UpstreamRef{Address: server.Listener.Addr().String()}
	b.ReportAllocs()
	s, err := e.Generate(b.Context(), up, ports.GenerateRequest{RequestID: "r", Stream: true, Body: []byte(`{"model":"m","stream":true}`)})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	for err == nil {
		_, err = s.Next()
	}
	if err != io.EOF {
		b.Fatal(err)
	}
}

package upstream_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/standin/servicesim"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// BenchmarkServiceCall compares pooled connections with the new connection of each
// non-repeatable call. One operation is one call over the loopback interface.
func BenchmarkServiceCall(b *testing.B) {
	for _, repeatable := range []bool{true, false} {
		b.Run(fmt.Sprintf("repeatable=%v", repeatable), func(b *testing.B) {
			server := httptest.NewServer(servicesim.New(servicesim.Config{}))
			defer server.Close()
			s := upstream.NewService(upstream.Options{})
			defer s.Close()
			up := domain.UpstreamRef{Address: server.Listener.Addr().String()}
			for b.Loop() {
				call := ports.ServiceRequest{RequestID: "r", Method: http.MethodPost, Path: "/", Repeatable: repeatable}
				stream, err := s.Call(b.Context(), up, call)
				if err != nil {
					b.Fatal(err)
				}
				for err == nil {
					_, err = stream.Next()
				}
				if err != io.EOF {
					b.Fatal(err)
				}
				stream.Close()
			}
		})
	}
}

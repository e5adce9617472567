package contract

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/standin/servicesim"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

type serviceUnderTest struct {
	*upstream.Service
	sim *servicesim.Sim
	up  domain.UpstreamRef
}

func newService(t *testing.T, o upstream.Options) *serviceUnderTest {
	sim := servicesim.New(servicesim.Config{ID: "s1"})
	server := httptest.NewServer(sim)
	t.Cleanup(server.Close)
	client := upstream.NewService(o)
	t.Cleanup(client.Close)
	return &serviceUnderTest{client, sim, domain.UpstreamRef{ID: "s1", Address: server.Listener.Addr().String()}}
}

// newMemService returns a service on in-memory connections, for tests in virtual
// time.
func newMemService(t *testing.T) *serviceUnderTest {
	sim := servicesim.New(servicesim.Config{ID: "s1"})
	client := upstream.NewService(upstream.Options{Dial: serveInMemory(t, sim)})
	t.Cleanup(client.Close)
	return &serviceUnderTest{client, sim, domain.UpstreamRef{ID: "s1", Address: "service:80"}}
}

func serviceCall(id string, repeatable bool) ports.ServiceRequest {
	return ports.ServiceRequest{
		RequestID:   domain.RequestID(id),
		OperationID: domain.OperationID(id),
		Method:      http.MethodPost,
		Path:        "/vats/7%2F8",
		Query:       "a=b",
		Header:      map[string][]string{"Idempotency-Key": {"k"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body:        strings.NewReader("slot"),
		Repeatable:  repeatable,
	}
}

func TestServiceForwardsRequestAndAnswer(t *testing.T) {
	var received *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	for _, repeatable := range []bool{true, false} {
		s := newService(t, upstream.Options{})
		s.up.Address = server.Listener.Addr().String()
		stream := must[answer.Stream](t)(s.Call(testContext(t), s.up, serviceCall("op", repeatable)))
		defer stream.Close()
		body, err := readAll(stream)
		if err != nil || string(body) != "slot" || stream.Head().Status != http.StatusTeapot {
			t.Fatalf("got body %q, error %v, head %+v; want the request body with status 418", body, err, stream.Head())
		}
		if received.RequestURI != "/vats/7%2F8?a=b" || received.Header.Get("X-Hop") != "" {
			t.Errorf("got request %s with headers %v, want the path and query of the call and no X-Hop", received.RequestURI, received.Header)
		}
		if agent, ok := received.Header["User-Agent"]; ok {
			t.Errorf("got User-Agent %q, want none", agent)
		}
		if received.Header.Get("Idempotency-Key") != "k" || received.Header.Get("X-Operation-Id") != "op" {
			t.Errorf("got headers %v, want the idempotency key and the operation id", received.Header)
		}
	}
}

func TestServiceFaults(t *testing.T) {
	cases := []struct {
		name       string
		mode       faults.Mode
		repeatable bool
		want       errkind.Kind
		runs       int
	}{
		{"closed before run", faults.CloseBeforeRun, false, errkind.UpstreamFailed, 0},
		{"closed after run", faults.CloseAfterRun, false, errkind.UpstreamFailed, 1},
		{"silent before run", faults.Unresponsive, false, errkind.UpstreamSilent, 0},
		{"silent after run", faults.UnresponsiveAfterRun, false, errkind.UpstreamSilent, 1},
		{"silent, repeatable", faults.Unresponsive, true, errkind.UpstreamSilent, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemService(t)
				warmUp(t, s, c.repeatable)
				s.sim.SetFaults(faults.Fault{Mode: c.mode, MaxRequests: 1})
				_, err := s.Call(testContext(t), s.up, serviceCall("op", c.repeatable))
				wantKind(t, err, c.want, domain.RunUnknown)
				if n := s.sim.Count("op"); n != c.runs {
					t.Errorf("got %d runs, want %d", n, c.runs)
				}
			})
		})
	}
}

// warmUp makes a call, so that the pool, if there is one, contains a connection.
func warmUp(t *testing.T, s *serviceUnderTest, repeatable bool) {
	t.Helper()
	stream := must[answer.Stream](t)(s.Call(testContext(t), s.up, serviceCall("warm", repeatable)))
	defer stream.Close()
	if _, err := readAll(stream); err != nil {
		t.Fatal(err)
	}
}

// TestServiceStaleConnectionRunsOnce makes the service close the keep-alive
// connection after it has run a call. Through a pooled transport, the call with its
// Idempotency-Key would be sent again, run twice and appear successful.
func TestServiceStaleConnectionRunsOnce(t *testing.T) {
	cases := []struct{ method, body string }{
		{http.MethodPost, ""}, {http.MethodPost, "slot"}, {http.MethodGet, ""},
	}
	for _, c := range cases {
		t.Run(c.method+" "+c.body, func(t *testing.T) {
			s := newService(t, upstream.Options{})
			warmUp(t, s, true)
			warmUp(t, s, false)
			s.sim.SetFaults(faults.Fault{Mode: faults.CloseAfterRun, MaxRequests: 1})
			call := serviceCall("op", false)
			call.Method, call.Body = c.method, nil
			if c.body != "" {
				call.Body = strings.NewReader(c.body)
			}
			_, err := s.Call(testContext(t), s.up, call)
			if n := s.sim.Count("op"); n != 1 {
				t.Errorf("got %d runs, want 1", n)
			}
			wantKind(t, err, errkind.UpstreamFailed, domain.RunUnknown)
		})
	}
}

func TestServiceUnreachable(t *testing.T) {
	s := newService(t, upstream.Options{})
	s.up.Address = unusedAddress()
	_, err := s.Call(testContext(t), s.up, serviceCall("op", false))
	wantKind(t, err, errkind.UpstreamFailed, domain.RunNo)
}

func TestServiceTruncatedAnswers(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"shorter than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
		{"without last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"without length or chunks", "HTTP/1.1 200 OK\r\n\r\nhalf"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, _ := w.(http.Hijacker).Hijack()
				_, _ = io.WriteString(conn, c.answer)
				conn.Close()
			}))
			defer server.Close()
			s := newService(t, upstream.Options{})
			s.up.Address = server.Listener.Addr().String()
			stream := must[answer.Stream](t)(s.Call(testContext(t), s.up, serviceCall("op", false)))
			defer stream.Close()
			_, err := readAll(stream)
			wantKind(t, err, errkind.Truncated, domain.RunUnknown)
		})
	}
}

func TestServiceLoadLeaving(t *testing.T) {
	s := newService(t, upstream.Options{})
	s.sim.SetFaults(faults.Fault{Mode: faults.ReportLeaving})
	if l := must[domain.LoadReport](t)(s.Load(testContext(t), s.up)); !l.Leaving || l.Upstream != "s1" {
		t.Errorf("got load %+v, want s1 leaving", l)
	}
}

// slowBody is a reader that returns one byte at a time, each after a delay.
type slowBody struct {
	remaining string
	delay     time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.remaining == "" {
		return 0, io.EOF
	}
	time.Sleep(b.delay)
	n := copy(p[:1], b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}

// TestServiceSlowUploadIsNotSilent uploads for longer than the header timeout. The
// timeout must not run before the upload has ended.
func TestServiceSlowUploadIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := serveInMemory(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			w.WriteHeader(http.StatusNoContent)
		}))
		client := upstream.NewService(upstream.Options{Dial: server, HeaderTimeout: time.Second})
		t.Cleanup(client.Close)
		call := serviceCall("op", false)
		call.Body = &slowBody{remaining: "slot", delay: 3 * time.Second}
		stream := must[answer.Stream](t)(client.Call(t.Context(), domain.UpstreamRef{Address: "service:80"}, call))
		defer stream.Close()
		if _, err := readAll(stream); err != nil {
			t.Error(err)
		}
	})
}

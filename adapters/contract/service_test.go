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

// newMemService serves in memory, for tests in virtual time.
func newMemService(t *testing.T) *serviceUnderTest {
	sim := servicesim.New(servicesim.Config{ID: "s1"})
	client := upstream.NewService(upstream.Options{Dial: serve(t, sim)})
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

func TestServiceEchoesEndToEnd(t *testing.T) {
	var seen *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r
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
			t.Fatalf("%q, error %v, head %+v", body, err, stream.Head())
		}
		if seen.RequestURI != "/vats/7%2F8?a=b" || seen.Header.Get("X-Hop") != "" {
			t.Errorf("request %s, headers %v", seen.RequestURI, seen.Header)
		}
		if agent, ok := seen.Header["User-Agent"]; ok {
			t.Errorf("user agent %q added", agent)
		}
		if seen.Header.Get("Idempotency-Key") != "k" || seen.Header.Get("X-Operation-Id") != "op" {
			t.Errorf("headers %v", seen.Header)
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
		{"silent before run", faults.Silent, false, errkind.UpstreamSilent, 0},
		{"silent after run", faults.SilentAfterRun, false, errkind.UpstreamSilent, 1},
		{"silent, repeatable", faults.Silent, true, errkind.UpstreamSilent, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemService(t)
				warm(t, s, c.repeatable)
				s.sim.SetFaults(faults.Fault{Mode: c.mode, Times: 1})
				_, err := s.Call(testContext(t), s.up, serviceCall("op", c.repeatable))
				wantKind(t, err, c.want, domain.RunUnknown)
				if n := s.sim.Count("op"); n != c.runs {
					t.Errorf("ran %d times, want %d", n, c.runs)
				}
			})
		})
	}
}

// warm makes a call, so that a pooled connection stands if there is a pool.
func warm(t *testing.T, s *serviceUnderTest, repeatable bool) {
	t.Helper()
	stream := must[answer.Stream](t)(s.Call(testContext(t), s.up, serviceCall("warm", repeatable)))
	defer stream.Close()
	if _, err := readAll(stream); err != nil {
		t.Fatal(err)
	}
}

// TestServiceStaleConnectionRunsOnce has the service close the kept-alive
// connection after it ran a call. Sent through the pooled transport with its
// Idempotency-Key, the call would run twice and look like a success.
func TestServiceStaleConnectionRunsOnce(t *testing.T) {
	cases := []struct{ method, body string }{
		{http.MethodPost, ""}, {http.MethodPost, "slot"}, {http.MethodGet, ""},
	}
	for _, c := range cases {
		t.Run(c.method+" "+c.body, func(t *testing.T) {
			s := newService(t, upstream.Options{})
			warm(t, s, true)
			warm(t, s, false)
			s.sim.SetFaults(faults.Fault{Mode: faults.CloseAfterRun, Times: 1})
			call := serviceCall("op", false)
			call.Method, call.Body = c.method, nil
			if c.body != "" {
				call.Body = strings.NewReader(c.body)
			}
			_, err := s.Call(testContext(t), s.up, call)
			if n := s.sim.Count("op"); n != 1 {
				t.Errorf("ran %d times, want 1", n)
			}
			wantKind(t, err, errkind.UpstreamFailed, domain.RunUnknown)
		})
	}
}

func TestServiceUnreachable(t *testing.T) {
	s := newService(t, upstream.Options{})
	s.up.Address = closedAddress()
	_, err := s.Call(testContext(t), s.up, serviceCall("op", false))
	wantKind(t, err, errkind.UpstreamFailed, domain.RunNo)
}

func TestServiceCutAnswers(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
		{"without last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"without any end", "HTTP/1.1 200 OK\r\n\r\nhalf"},
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
	s.sim.SetFaults(faults.Fault{Mode: faults.Leave})
	if l := must[domain.LoadReport](t)(s.Load(testContext(t), s.up)); !l.Leaving || l.Upstream != "s1" {
		t.Errorf("load %+v", l)
	}
}

// slowBody gives its bytes one at a time, each after a delay.
type slowBody struct {
	left  string
	delay time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == "" {
		return 0, io.EOF
	}
	time.Sleep(b.delay)
	n := copy(p[:1], b.left)
	b.left = b.left[n:]
	return n, nil
}

// TestServiceSlowCallerIsNotSilence uploads for longer than the head may take.
func TestServiceSlowCallerIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			w.WriteHeader(http.StatusNoContent)
		}))
		client := upstream.NewService(upstream.Options{Dial: server, HeadTimeout: time.Second})
		t.Cleanup(client.Close)
		call := serviceCall("op", false)
		call.Body = &slowBody{left: "slot", delay: 3 * time.Second}
		stream := must[answer.Stream](t)(client.Call(t.Context(), domain.UpstreamRef{Address: "service:80"}, call))
		defer stream.Close()
		if _, err := readAll(stream); err != nil {
			t.Error(err)
		}
	})
}

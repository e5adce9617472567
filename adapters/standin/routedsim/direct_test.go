package routedsim

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

// exchange sends one request over a connection of its own and returns all bytes of the
// response.
func exchange(t *testing.T, s *Server) string {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /s/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(all)
}

func TestResponseEndsAfterAnyNumberOfBytes(t *testing.T) {
	s := Start(storesim.New(), "app", "west-a", "u1")
	defer s.Close()
	for _, b := range []Behaviour{{Undelimited: true}, {Undelimited: true, Events: 2}, {Events: 2, EndAfterBytes: 1 << 20}, {EndAfterBytes: 1 << 20}} {
		s.SetBehaviour(b)
		whole := exchange(t, s)
		for n := 1; n < len(whole); n++ {
			b.EndAfterBytes = n
			s.SetBehaviour(b)
			if got := exchange(t, s); got != whole[:n] {
				t.Fatalf("%+v: got %q, want %q", b, got, whole[:n])
			}
		}
	}
	if !s.Running() {
		t.Error("the server crashed")
	}
}

func TestUndelimitedResponseHasNeitherLengthNorChunks(t *testing.T) {
	s := Start(storesim.New(), "app", "west-a", "u1")
	defer s.Close()
	for events, want := range map[int]string{0: "u1 / 0", 2: event(1) + event(2)} {
		s.SetBehaviour(Behaviour{Undelimited: true, Events: events})
		resp, err := http.Get("http://" + s.Address() + "/")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || string(body) != want || resp.ContentLength >= 0 || resp.TransferEncoding != nil {
			t.Errorf("got body %q, error %v, length %d and encoding %v, want %q without length and encoding", body, err, resp.ContentLength, resp.TransferEncoding, want)
		}
	}
}

func TestCrashAtEndClosesAllConnections(t *testing.T) {
	s := Start(storesim.New(), "app", "west-a", "u1")
	defer s.Close()
	idle, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	if _, err := io.WriteString(idle, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(idle)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	s.SetBehaviour(Behaviour{Undelimited: true, EndAfterBytes: 20, CrashAtEnd: true})
	if got := exchange(t, s); len(got) != 20 {
		t.Errorf("got %d bytes, want 20", len(got))
	}
	if _, err := reader.ReadByte(); err == nil {
		t.Error("the crash left a connection open")
	}
	if conn, err := net.Dial("tcp", s.Address()); err == nil {
		conn.Close()
		t.Error("the crashed server accepts connections")
	}
}

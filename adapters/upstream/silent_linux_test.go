package upstream_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocusspread/crocusspread/adapters/upstream"
)

// controlSocket calls f with the socket of a connection.
func controlSocket(t *testing.T, c net.Conn, f func(fd int) error) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	if err := errors.Join(raw.Control(func(fd uintptr) { failed = f(int(fd)) }), failed); err != nil {
		t.Fatal(err)
	}
}

// dropSegments makes a connection receive nothing any more, as if its path lost all packets.
func dropSegments(t *testing.T, c net.Conn) {
	t.Helper()
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	controlSocket(t, c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
}

// dialSilent opens a connection whose other end receives nothing.
func dialSilent(t *testing.T, userTimeout time.Duration) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := upstream.Dialer(time.Second, userTimeout)(context.Background(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Close() })
	dropSegments(t, other)
	return conn
}

// TestSilentConnectionIsGivenUpAfterTheSetProbes guards against a count of keep-alive probes that never decides, as the user
// timeout gives the connection up before.
func TestSilentConnectionIsGivenUpAfterTheSetProbes(t *testing.T) {
	t.Parallel()
	for _, userTimeout := range []time.Duration{2 * time.Second, 10 * time.Second} {
		t.Run(userTimeout.String(), func(t *testing.T) {
			t.Parallel()
			conn := dialSilent(t, userTimeout)
			option := func(name int) (value int) {
				controlSocket(t, conn, func(fd int) (err error) {
					value, err = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, name)
					return err
				})
				return value
			}
			if got := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond; got != userTimeout {
				t.Errorf("got user timeout %v, want %v", got, userTimeout)
			}
			want := time.Duration(option(unix.TCP_KEEPIDLE)+option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT)) * time.Second
			began := time.Now()
			_, err := conn.Read(make([]byte, 1))
			if took := time.Since(began); !errors.Is(err, syscall.ETIMEDOUT) || took < want-time.Second || took > want+time.Second {
				t.Errorf("the connection ended after %v with %v, want a timeout after %v", took, err, want)
			}
		})
	}
}

// TestUnacknowledgedBytesEndAConnection guards against connections on which a request waits for as long as the kernel sends
// it again.
func TestUnacknowledgedBytesEndAConnection(t *testing.T) {
	t.Parallel()
	const userTimeout = 2 * time.Second
	conn := dialSilent(t, userTimeout)
	began := time.Now()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	if took := time.Since(began); !errors.Is(err, syscall.ETIMEDOUT) || took < userTimeout-time.Second || took > userTimeout+1500*time.Millisecond {
		t.Errorf("the connection ended after %v with %v, want a timeout after %v", took, err, userTimeout)
	}
}

package connlimit

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets how long sent bytes may remain unacknowledged. A connection of another kind
// than TCP is left as it is.
func setUserTimeout(c net.Conn, d time.Duration) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return // the connection is closed already
	}
	_ = raw.Control(func(fd uintptr) { // it fails only on connections that are closed already
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

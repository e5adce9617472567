package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout returns a net.Dialer Control function that sets TCP_USER_TIMEOUT.
func setUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

//go:build !linux

package upstream

import (
	"syscall"
	"time"
)

// setUserTimeout returns nil, because only Linux supports TCP_USER_TIMEOUT.
func setUserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}

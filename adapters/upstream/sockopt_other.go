//go:build !linux

package upstream

import (
	"syscall"
	"time"
)

// setUserTimeout returns nil: only Linux has TCP_USER_TIMEOUT.
func setUserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}

//go:build !linux

package connlimit

import (
	"net"
	"time"
)

// setUserTimeout does nothing, because only Linux supports TCP_USER_TIMEOUT.
func setUserTimeout(net.Conn, time.Duration) {}

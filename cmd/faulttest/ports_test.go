package faulttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
)

// reservedPorts holds the ports that freePorts has returned, since their processes may
// not listen on them yet.
var reservedPorts sync.Map

// freePorts returns n loopback addresses whose ports are free at the moment and that
// it has not returned before.
func freePorts(t testing.TB, n int) []string {
	t.Helper()
	var addresses []string
	for attempts := 0; len(addresses) < n; attempts++ {
		if attempts > 1000 {
			t.Fatal("found too few free ports")
		}
		// Below the ephemeral port range, so that no outgoing connection occupies the
		// port before its process listens.
		port := 10000 + rand.IntN(10000)
		if _, reserved := reservedPorts.LoadOrStore(port, true); reserved {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

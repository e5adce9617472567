package faulttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
)

// givenPorts are those that freePorts returned: their processes may not listen yet.
var givenPorts sync.Map

// freePorts returns addresses that are free at this moment and were never returned
// before.
func freePorts(t testing.TB, n int) []string {
	t.Helper()
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		if tries > 1000 {
			t.Fatal("no ports are free")
		}
		// Below the ports that the system gives to outgoing connections, so that
		// none of these takes one before its process listens.
		port := 10000 + rand.IntN(10000)
		if _, given := givenPorts.LoadOrStore(port, true); given {
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

package faulttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
)

// Ports are assigned from blocks below the ephemeral port range, so that no outgoing
// connection occupies a port before its process listens. Tests may run in several processes
// at the same time, each of which has a block of its own.
const (
	firstBlock, blocks = 10000, 10
	blockPorts         = 1000
)

// portBlock returns the first port of a block, on which this process listens until its end.
// No other port of the block is used by another process.
var portBlock = sync.OnceValues(func() (int, error) {
	for _, n := range rand.Perm(blocks) {
		first := firstBlock + n*blockPorts
		if _, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return first, nil
		}
	}
	return 0, fmt.Errorf("%d processes with tests are running already", blocks)
})

// reservedPorts holds the ports of tests that run, since their processes may not listen on
// them yet.
var reservedPorts sync.Map

// freePorts returns n loopback addresses whose ports are free at the moment and that
// it has not returned to a test that still runs.
func freePorts(t testing.TB, n int) []string {
	t.Helper()
	first, err := portBlock()
	if err != nil {
		t.Fatal(err)
	}
	var addresses []string
	for attempts := 0; len(addresses) < n; attempts++ {
		if attempts > 10*blockPorts {
			t.Fatal("found too few free ports")
		}
		port := first + 1 + rand.IntN(blockPorts-1)
		if _, reserved := reservedPorts.LoadOrStore(port, true); reserved {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			reservedPorts.Delete(port)
			continue
		}
		defer l.Close()
		t.Cleanup(func() { reservedPorts.Delete(port) }) // after the processes were killed
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

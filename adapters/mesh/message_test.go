package mesh

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/ports"
)

// sampleMessage returns a typical message within a region of the given number of
// nodes.
func sampleMessage(nodes int) ExchangeMessage {
	msg := ExchangeMessage{TableVersion: 1 << 20,
		Operator: Position{StorePosition: ports.StorePosition{Era: 1 << 20, Revision: 1 << 40}, Digest: 1 << 60, Age: time.Second}, Entries: Position{StorePosition: ports.StorePosition{Era: 1 << 20, Revision: 1 << 40}, Digest: 1 << 60, Age: time.Second}}
	loads := []instances.Load{{Service: "assistent-llm", Usable: 30, Free: 200, Delay: 40e6}, {Service: "migratie-api", Usable: 2, Free: 12, Delay: 40e6}}
	msg.Views = []peers.View{{Region: "another-region", Age: time.Second, Loads: loads}}
	for i := range min(nodes, 20) {
		msg.Heartbeats = append(msg.Heartbeats, peers.CompactHeartbeat{Handle: uint32(i) << 24, Counter: 1 << 20, State: domain.NodeServing})
	}
	for i := range 2 {
		m := peers.Member{ID: domain.NodeID(fmt.Sprint("front-region-a-", i)), Place: domain.Place{Region: "region", FailureDomain: "region-a"},
			EntryAddress: "10.1.0.35:8144", PeerAddress: "10.1.0.35:8146", Incarnation: 1 << 41, HeartbeatCounter: 1 << 20, State: domain.NodeServing, Capacity: 0.4}
		if i == 0 {
			msg.Sender = m
			continue
		}
		msg.Members = append(msg.Members, m)
	}
	msg.Brittle = []instances.BrittleService{{Service: "assistent-llm", MaxRejections: 5, Age: 40 * time.Millisecond}}
	msg.Speeds = []instances.Speed{{Service: "assistent-llm", Instance: "llm-region-a-17", Slowdown: 2.5, Age: 120 * time.Millisecond}}
	return msg
}

// maxControlRate is the limit for the control traffic that a node sends.
// messagesPerSecond is the number of messages that it sends within its region: one
// for each exchange that it starts, every 0.3 s, and one for each that another node
// starts with it.
const (
	maxControlRate    = 4000 // bytes per second
	messagesPerSecond = 2 / 0.3
)

// TestExchangeTrafficIsWithinLimit checks that the exchanges in a region of 30 nodes
// stay within the limit for control traffic.
func TestExchangeTrafficIsWithinLimit(t *testing.T) {
	size := proto.Size(messageToWire(sampleMessage(30)))
	t.Logf("message in a region of 30 nodes: %d bytes", size)
	if sent := float64(size) * messagesPerSecond; sent > maxControlRate {
		t.Errorf("messages of %d bytes make %.0f bytes per second, want at most %d", size, sent, maxControlRate)
	}
}

func TestExchangeMessageRoundTrip(t *testing.T) {
	msg := sampleMessage(3)
	msg.Loads = []instances.Load{{Service: "app", Usable: 2, Free: 3.5, Delay: 40e6}}
	got := messageFromWire(messageToWire(msg))
	if fmt.Sprint(got) != fmt.Sprint(msg) {
		t.Errorf("got %+v\nwant %+v", got, msg)
	}
}

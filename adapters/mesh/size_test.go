package mesh

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
)

// wordOf returns what a node of a region of that many nodes tells a neighbour.
func wordOf(nodes int) Word {
	w := Word{TableVersion: 1 << 20,
		Operator: Position{Revision: 1 << 40, Digest: 1 << 60, Age: time.Second}, Entries: Position{Revision: 1 << 40, Digest: 1 << 60, Age: time.Second}}
	loads := []instances.Load{{Service: "assistent-llm", Usable: 30, Free: 200, Delay: 40e6}, {Service: "migratie-api", Usable: 2, Free: 12, Delay: 40e6}}
	w.Views = []peers.View{{Region: "another-region", Age: time.Second, Loads: loads}}
	for i := range min(nodes, 20) {
		w.Beats = append(w.Beats, peers.Beat{Handle: uint32(i) << 24, Beat: 1 << 20, State: domain.NodeServing})
	}
	for i := range 2 {
		m := peers.Member{ID: domain.NodeID(fmt.Sprint("front-region-a-", i)), Place: domain.Place{Region: "region", FailureDomain: "region-a"},
			EntryAddress: "10.1.0.35:8144", PeerAddress: "10.1.0.35:8146", Incarnation: 1 << 41, Beat: 1 << 20, State: domain.NodeServing, Capacity: 0.4}
		if i == 0 {
			w.Sender = m
			continue
		}
		w.Members = append(w.Members, m)
	}
	return w
}

// controlBytes is what a node may send for control, and wordsPerSecond the words
// that it sends inside its region: one for each exchange that it begins, every
// 0.3 s, and one for each that another begins with it.
const (
	controlBytes   = 4000 // bytes a second
	wordsPerSecond = 2 / 0.3
)

// TestWordInsideARegionIsSmall holds the exchanges of a region of 30 nodes within
// the bound on control traffic.
func TestWordInsideARegionIsSmall(t *testing.T) {
	size := proto.Size(wordToWire(wordOf(30)))
	t.Logf("a word in a region of 30 nodes: %d bytes", size)
	if sent := float64(size) * wordsPerSecond; sent > controlBytes {
		t.Errorf("%d bytes a word are %.0f bytes a second, want at most %d", size, sent, controlBytes)
	}
}

func TestWordSurvivesTheWire(t *testing.T) {
	w := wordOf(3)
	w.Loads = []instances.Load{{Service: "app", Usable: 2, Free: 3.5, Delay: 40e6}}
	got := wordFromWire(wordToWire(w))
	if fmt.Sprint(got) != fmt.Sprint(w) {
		t.Errorf("got %+v\nwant %+v", got, w)
	}
}

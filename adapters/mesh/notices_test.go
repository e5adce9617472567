package mesh

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
)

// TestNoticesRoundTrip guards against fields of a notice that other nodes do not receive.
func TestNoticesRoundTrip(t *testing.T) {
	want := []instances.Notice{
		{Service: "llm", Instance: "e1", Tokens: 3700, Shared: 7},
		{Service: "llm", Instance: "e2", Slowdown: 2.5},
		{Service: "llm", Instance: "e3", Tokens: 3700, Shared: 7, ReservedTokens: 4200, Duration: 1500 * time.Millisecond, Parts: []placement.Part{{ID: 5, Tokens: 1300}, {ID: 7, Tokens: 12000}}},
	}
	if got := noticesFromWire(noticesToWire(want)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestNoticeOfLongPromptIsSmall guards against notices that use up the traffic between nodes: each node of a
// region gets one for each long prompt.
func TestNoticeOfLongPromptIsSmall(t *testing.T) {
	n := instances.Notice{Service: "assistent-llm", Instance: "llm-region-a-17", Tokens: 3700, ReservedTokens: 4200, Duration: 1500 * time.Millisecond,
		Parts: []placement.Part{{ID: 1<<63 + 5, Tokens: 1300}, {ID: 1<<62 + 7, Tokens: 12000}, {ID: 1<<63 + 9, Tokens: 3700}}}
	size := proto.Size(noticesToWire([]instances.Notice{n})[0])
	t.Logf("notice of %d bytes", size)
	if size > 100 {
		t.Errorf("got a notice of %d bytes, want at most 100", size)
	}
}

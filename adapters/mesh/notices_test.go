package mesh

import (
	"reflect"
	"testing"
	"time"

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

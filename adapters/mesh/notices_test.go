package mesh

import (
	"reflect"
	"testing"

	"github.com/crocusspread/crocusspread/core/instances"
)

// TestNoticesRoundTrip guards against fields of a notice that other nodes do not receive.
func TestNoticesRoundTrip(t *testing.T) {
	want := []instances.Notice{
		{Service: "llm", Instance: "e1", Tokens: 3700, Shared: 7},
		{Service: "llm", Instance: "e2", Slowdown: 2.5},
	}
	if got := noticesFromWire(noticesToWire(want)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

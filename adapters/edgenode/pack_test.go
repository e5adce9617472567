package edgenode

import (
	"bytes"
	"fmt"
	"testing"
)

// TestLargeTableIsSmallOnTheWire: a dozen nodes of a failure domain take a table of
// 1,700 routes over from one that has a link of 10 Mbit/s, within a second.
func TestLargeTableIsSmallOnTheWire(t *testing.T) {
	const routes, nodes, link = 1700, 12, 10_000_000 / 8
	var text bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r-%06x","host":"host%d.example","path_prefix":"/p%d/","kind":"streaming","timeout_ms":6000,"target_latency_ms":800,"gap_aim_ms":400,"priority":1,"service":"assistent-llm","max_attempts":1,"resumable":false,"allowed_regions":["nl-west","nl-oost"]},`, i*7919%0xffffff, i%40, i)
	}
	packed, err := pack(text.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	if back, err := unpack(packed); err != nil || !bytes.Equal(back, text.Bytes()) {
		t.Fatalf("unpacked %d bytes of %d, %v", len(back), text.Len(), err)
	}
	t.Logf("%d bytes, packed %d", text.Len(), len(packed))
	if nodes*len(packed) > link {
		t.Errorf("%d nodes take %d bytes, more than %d in a second", nodes, nodes*len(packed), link)
	}
}

func TestUnpackRefusesWhatIsNoTable(t *testing.T) {
	for name, packed := range map[string][]byte{"plain text": []byte(`{"version": 1}`), "cut": {0x1f, 0x8b, 8, 0}, "nothing": nil} {
		if text, err := unpack(packed); err == nil {
			t.Errorf("%s: unpacked %q", name, text)
		}
	}
}

package edgenode

import (
	"bytes"
	"fmt"
	"testing"
)

// TestCompressedTableFitsLinkBandwidth: a dozen nodes of a failure domain can fetch a
// table of 1,700 routes within a second from a node with a 10 Mbit/s link.
func TestCompressedTableFitsLinkBandwidth(t *testing.T) {
	const routes, nodes, bytesPerSecond = 1700, 12, 10_000_000 / 8
	var text bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r-%06x","host":"host%d.example","path_prefix":"/p%d/","kind":"streaming","timeout_ms":6000,"target_latency_ms":800,"gap_aim_ms":400,"priority":1,"service":"assistent-llm","max_attempts":1,"resumable":false,"allowed_regions":["nl-west","nl-oost"]},`, i*7919%0xffffff, i%40, i)
	}
	compressed, err := compress(text.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	if restored, err := decompress(compressed); err != nil || !bytes.Equal(restored, text.Bytes()) {
		t.Fatalf("got %d bytes of %d and error %v, want the original text", len(restored), text.Len(), err)
	}
	t.Logf("%d bytes, compressed to %d", text.Len(), len(compressed))
	if nodes*len(compressed) > bytesPerSecond {
		t.Errorf("%d nodes fetch %d bytes, want at most the %d that the link carries in a second", nodes, nodes*len(compressed), bytesPerSecond)
	}
}

func TestDecompressRejectsInvalidData(t *testing.T) {
	for name, compressed := range map[string][]byte{"plain text": []byte(`{"version": 1}`), "truncated": {0x1f, 0x8b, 8, 0}, "empty": nil} {
		if text, err := decompress(compressed); err == nil {
			t.Errorf("%s: got %q, want an error", name, text)
		}
	}
}

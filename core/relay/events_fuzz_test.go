package relay

import "testing"

// FuzzEventCounter guards against results that depend on how a stream is divided into chunks: a
// resumed stream would then lose an event or repeat one.
func FuzzEventCounter(f *testing.F) {
	for _, text := range []string{"", "\n", "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "\r\r\n\n", ": comment\n\ndata: x\r\r", "data", ":\n\n:\n", "\r\n\r\n\r"} {
		f.Add([]byte(text), uint(len(text)/2))
	}
	f.Fuzz(func(t *testing.T, stream []byte, at uint) {
		cut := int(at % uint(len(stream)+1))
		var whole, parts eventCounter
		end := whole.add(stream)
		first, second := parts.add(stream[:cut]), parts.add(stream[cut:])
		if whole != parts {
			t.Errorf("%q as a whole: %+v, cut at %d: %+v", stream, whole, cut, parts)
		}
		if end < 0 || end > len(stream) || first > cut || second > len(stream)-cut {
			t.Errorf("%q, cut at %d: offsets %d, %d and %d are outside", stream, cut, end, first, second)
		}
		if second > 0 && end != cut+second || second == 0 && end < first {
			t.Errorf("%q, cut at %d: the last empty line ends at %d as a whole, at %d and %d in parts", stream, cut, end, first, second)
		}
	})
}

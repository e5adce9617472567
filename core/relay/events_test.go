package relay

import "testing"

func TestEventCounter(t *testing.T) {
	for stream, want := range map[string]eventCounter{
		"":                              {},
		"data: a\n\n":                   {complete: 1},
		"data: a\r\n\r\n":               {complete: 1},
		"data: a\r\r":                   {complete: 1},
		"data: a\r\rdata: b\r\n\r":      {complete: 2},
		"data: a\r\ndata: b\r\n":        {open: true},
		"id: 1\ndata: a\n\ndata: b\n\n": {complete: 2},
		"data: a\n\n\n\n":               {complete: 1},
		"data: a\n":                     {open: true},
		"data: a\n\ndat":                {complete: 1, open: true, inLine: true},
		": ping\n\n":                    {},
		": ping\n":                      {},
		"data: a\n: note\n\n":           {complete: 1},
	} {
		for size := 1; size <= len(stream)+1; size++ {
			var c eventCounter
			for rest := stream; rest != ""; rest = rest[min(size, len(rest)):] {
				c.add([]byte(rest[:min(size, len(rest))]))
			}
			c.afterCR, c.emptyLine = false, false
			if c != want {
				t.Errorf("stream %q in chunks of %d: got %+v, want %+v", stream, size, c, want)
			}
		}
	}
}

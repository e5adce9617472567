package edge

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

func TestBodyIsReadWhole(t *testing.T) {
	for _, size := range []int{1, firstBodyBuffer - 1, firstBodyBuffer, firstBodyBuffer + 1, 5*firstBodyBuffer + 3} {
		for _, lengthKnown := range []bool{true, false} {
			h := &Handler{Config: Config{MaxTotalBodyBytes: 1 << 20}}
			want := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
			length := int64(-1)
			if lengthKnown {
				length = int64(size)
			}
			got, reserved, err := h.readReserved(iotest.HalfReader(bytes.NewReader(want)), length)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("%d bytes, length %d: got %d bytes and error %v", size, length, len(got), err)
			}
			if reserved < int64(size) || h.bodyBytes.Load() != reserved {
				t.Errorf("%d bytes, length %d: reserved %d of %d bytes in flight", size, length, reserved, h.bodyBytes.Load())
			}
		}
	}
}

// A body that was cut off must not be sent on as if it were whole.
func TestTruncatedBodyIsAnError(t *testing.T) {
	h := &Handler{Config: Config{MaxTotalBodyBytes: 1 << 20}}
	if _, _, err := h.readReserved(strings.NewReader("short"), 10); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("with a length: got error %v, want an unexpected end", err)
	}
	cut := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)) // as net/http for a cut chunk
	if _, _, err := h.readReserved(cut, -1); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("in chunks: got error %v, want an unexpected end", err)
	}
}

// Bodies that are still arriving occupy memory as well, in chunks or with a length.
func TestBodiesThatAreArrivingCountAgainstTheLimit(t *testing.T) {
	const callers, limit = 50, 1 << 20
	for _, length := range []int64{-1, 1 << 20} {
		h := &Handler{Config: Config{MaxTotalBodyBytes: limit}}
		results := make(chan error, callers)
		release := make(chan struct{})
		for range callers {
			go func() {
				slow := io.MultiReader(bytes.NewReader(make([]byte, 256<<10)), readerFunc(func([]byte) (int, error) { <-release; return 0, io.EOF }))
				_, _, err := h.readReserved(slow, length)
				results <- err
			}()
		}
		refused := 0
		for range callers - 8 { // the others fit and wait for the rest of their body
			if err := <-results; errors.Is(err, errBodiesTooLarge) {
				refused++
			}
		}
		close(release)
		if refused < callers-8 {
			t.Errorf("length %d: %d of %d bodies were refused, want all that do not fit", length, refused, callers)
		}
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// A caller that sends its body a byte at a time is refused when its time is over, and its
// memory is released.
func TestBodyWithoutEndIsRefusedAtTheDeadline(t *testing.T) {
	h := &Handler{Config: Config{MaxTotalBodyBytes: 1 << 20}}
	kinds := make(chan errkind.Kind, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _, failure := h.readBody(w, r, 0, time.Now().Add(300*time.Millisecond))
		if failure != nil {
			kinds <- failure.Kind
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		kinds <- "read"
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	go func() {
		for {
			if _, err := conn.Write([]byte("1\r\nx\r\n")); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	if kind := <-kinds; kind != errkind.BadRequest {
		t.Errorf("got %q, want %q", kind, errkind.BadRequest)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && !resp.Close {
		t.Error("the connection stays open behind an unread body")
	}
	if h.bodyBytes.Load() != 0 {
		t.Errorf("%d bytes stay reserved", h.bodyBytes.Load())
	}
}

package storesim

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

func status(t *testing.T, address, call string) (code int, era string) {
	t.Helper()
	resp, err := http.Get(address + call)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Store-Era")
}

func TestRestoredStoreGoesBackAndRaisesItsEra(t *testing.T) {
	s := New()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	s.Put("op/a", []byte("1"))
	c := s.Copy()
	s.Put("op/a", []byte("2"))
	s.Put("op/b", []byte("2"))
	before := s.Revision()
	watch := fmt.Sprintf("/api/kv-watch?path_prefix=op/&after=%d&wait_ms=1", before)
	if code, era := status(t, server.URL, watch); code != http.StatusOK || era != "1" {
		t.Errorf("before: got status %d in era %s, want 200 in era 1", code, era)
	}
	s.Restore(c)
	if code, era := status(t, server.URL, watch); code != http.StatusGone || era != "2" {
		t.Errorf("watch from a revision that the store doesn't have: got status %d in era %s, want 410 in era 2", code, era)
	}
	if v, _ := s.Get("op/a"); string(v) != "1" || len(s.Keys("op/")) != 1 {
		t.Errorf("got %q and keys %v, want the content of the copy", v, s.Keys("op/"))
	}
	s.Put("op/a", []byte("3"))
	s.Put("op/c", []byte("3"))
	if s.Revision() != before {
		t.Errorf("got revision %d, want %d given out again", s.Revision(), before)
	}
	if code, _ := status(t, server.URL, watch); code != http.StatusOK {
		t.Errorf("watch from a revision given out again: got status %d, want 200", code)
	}
}

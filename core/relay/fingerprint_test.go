package relay_test

import (
	"testing"

	"github.com/crocusspread/crocusspread/core/relay"
)

func TestFingerprintIdentifiesRepeatedMessages(t *testing.T) {
	message := func(change func(*relay.Message)) relay.Message {
		m := relay.Message{ID: "r1", Method: "POST", Host: "h", RequestTarget: "/a?b", Header: map[string][]string{"Authorization": {"x"}, "X-Other": {"1"}}, Body: []byte("body")}
		change(&m)
		return m
	}
	original := message(func(*relay.Message) {})
	for name, c := range map[string]struct {
		change func(*relay.Message)
		same   bool
	}{
		"another ID":                    {func(m *relay.Message) { m.ID = "r2" }, true},
		"another header":                {func(m *relay.Message) { m.Header["X-Other"] = []string{"2"} }, true},
		"another method":                {func(m *relay.Message) { m.Method = "PUT" }, false},
		"another host":                  {func(m *relay.Message) { m.Host = "i" }, false},
		"another query":                 {func(m *relay.Message) { m.RequestTarget = "/a?c" }, false},
		"another caller":                {func(m *relay.Message) { m.Header["Authorization"] = []string{"y"} }, false},
		"another body":                  {func(m *relay.Message) { m.Body = []byte("bodz") }, false},
		"a byte moved to another field": {func(m *relay.Message) { m.Host, m.RequestTarget = "h/", "a?b" }, false},
	} {
		m := message(c.change)
		if got := m.Fingerprint() == original.Fingerprint(); got != c.same {
			t.Errorf("%s: the fingerprint is the same: %v, want %v", name, got, c.same)
		}
	}
}

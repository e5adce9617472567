package relay_test

import (
	"testing"

	"github.com/crocusspread/crocusspread/core/placement"
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

// TestRequestsThatDifferInTheirPromptOnlyHaveDifferentFingerprints: one held request stopped all others without a body.
func TestRequestsThatDifferInTheirPromptOnlyHaveDifferentFingerprints(t *testing.T) {
	request := func(body string, parts ...uint64) *relay.Request {
		r := &relay.Request{Message: relay.Message{Method: "POST", RequestTarget: "/s/1", Body: []byte(body)}, Prompt: relay.Prompt{Model: "m"}}
		for _, id := range parts {
			r.Prompt.Parts = append(r.Prompt.Parts, placement.Part{ID: id, Tokens: 40})
		}
		return r
	}
	for name, c := range map[string]struct {
		a, b *relay.Request
		same bool
	}{
		"no body, another last part":       {request("", 1, 2), request("", 1, 3), false},
		"no body, another shared part":     {request("", 1, 2), request("", 4, 2), false},
		"no body, one part more":           {request("", 1, 2), request("", 1, 2, 3), false},
		"no body, the same prompt":         {request("", 1, 2), request("", 1, 2), true},
		"no body and no prompt":            {request(""), request(""), true},
		"the same body, another last part": {request("x", 1, 2), request("x", 1, 3), true},
		"another body, the same prompt":    {request("x", 1, 2), request("y", 1, 2), false},
	} {
		if got := c.a.Fingerprint() == c.b.Fingerprint(); got != c.same {
			t.Errorf("%s: the fingerprint is the same: %v, want %v", name, got, c.same)
		}
	}
}

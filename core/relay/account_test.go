package relay_test

import (
	"context"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// A request must not run in a region that its account forbids, also if its route allows it.
func TestRegionsOfTheAccountBindThePlacement(t *testing.T) {
	for name, c := range map[string]struct {
		route, account []domain.Region
		want           string // where the request runs; empty means nowhere
	}{
		"account allows the other region only": {nil, []domain.Region{"east"}, "e1"},
		"account allows this region only":      {nil, []domain.Region{"west"}, "u1"},
		"both allow one region":                {[]domain.Region{"west", "east"}, []domain.Region{"east"}, "e1"},
		"no region is allowed by both":         {[]domain.Region{"west"}, []domain.Region{"east"}, ""},
	} {
		f := newFixture(t, 1)
		f.addEastNode()
		f.upstreams.replies, f.nodes.replies = []reply{{chunks: []string{"x"}}}, []reply{{chunks: []string{"x"}}}
		r := newRequest(routes.Idempotent, 2)
		r.Route.Regions, r.Account = c.route, &routes.Account{Name: "a", Regions: c.account}
		failure := f.Serve(context.Background(), r, &recordingSink{})
		got := ""
		if to := append(f.upstreams.to, f.nodes.to...); len(to) > 0 {
			got = to[0]
		}
		if got != c.want {
			t.Errorf("%s: the request was sent to %q, want %q", name, got, c.want)
		}
		if c.want == "" && (failure == nil || failure.Verdict() != domain.RunNo) {
			t.Errorf("%s: got %v, want a refusal", name, failure)
		}
	}
}

// A retry must not leave the regions of the account either.
func TestRegionsOfTheAccountBindRetries(t *testing.T) {
	f := newFixture(t, 1)
	f.addEastNode()
	f.upstreams.replies = []reply{{err: errkind.New(errkind.PeerUnreachable, "no connection")}, {err: errkind.New(errkind.PeerUnreachable, "no connection")}}
	r := newRequest(routes.Idempotent, 3)
	r.Account = &routes.Account{Name: "a", Regions: []domain.Region{"west"}}
	f.Serve(context.Background(), r, &recordingSink{})
	if len(f.nodes.to) > 0 {
		t.Errorf("the request was sent to %v of a region that its account forbids", f.nodes.to)
	}
}

// Requests that crash upstreams are recognized by their caller, whose key is known at the entry
// node only.
func TestFingerprintHoldsTheAccountInPlaceOfTheKey(t *testing.T) {
	of := func(key, account string) uint64 {
		r := relay.Request{Message: relay.Message{Method: "POST", Body: []byte("x")}}
		if key != "" {
			r.Header = map[string][]string{"Authorization": {key}}
		}
		if account != "" {
			r.Account = &routes.Account{Name: account}
		}
		return r.Fingerprint()
	}
	if of("k1", "a") != of("", "a") {
		t.Error("the fingerprint of a request differs with its key")
	}
	if of("", "a") == of("", "b") || of("", "a") == of("", "") || of("k1", "") == of("k2", "") {
		t.Error("requests of two callers have the same fingerprint")
	}
}

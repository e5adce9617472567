package routes_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/routes"
)

func route(name, host, prefix string, shares ...routes.WeightedService) routes.Route {
	if len(shares) == 0 {
		shares = []routes.WeightedService{{Service: "app", Weight: 1}}
	}
	return routes.Route{Name: name, Host: host, PathPrefix: prefix, Kind: routes.Idempotent,
		Timeout: time.Second, MaxAttempts: 1, Split: shares}
}

func table(t *testing.T, list ...routes.Route) *routes.Table {
	t.Helper()
	tbl, err := routes.New(1, list, []routes.Service{{Name: "app"}, {Name: "app2"}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return tbl
}

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	tbl := table(t, route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/"))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.Example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y/z/1", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/X/1", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := tbl.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Match(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestServiceForFollowsWeights(t *testing.T) {
	tbl := table(t, route("r", "a", "/", routes.WeightedService{Service: "app", Weight: 90}, routes.WeightedService{Service: "app2", Weight: 10}))
	r := tbl.Match("a", "/")
	counts := map[string]int{}
	const draws = 10000
	for i := range draws {
		counts[r.ServiceFor(domain.RequestID(fmt.Sprint("id-", i)))]++
	}
	if got := float64(counts["app2"]) / draws; got < 0.08 || got > 0.12 {
		t.Errorf("got fraction %v for app2, want 0.1", got)
	}
}

func TestHostRegionsIntersectsAllRoutes(t *testing.T) {
	unrestricted, west, both := route("free", "h", "/f/"), route("west", "h", "/w/"), route("both", "h", "/b/")
	west.Regions = []domain.Region{"west"}
	both.Regions = []domain.Region{"west", "east"}
	got := table(t, unrestricted, west, both).HostRegions("h")
	if len(got) != 1 || got[0] != "west" {
		t.Errorf("HostRegions = %v, want [west]", got)
	}
	if got := table(t, unrestricted).HostRegions("h"); got != nil {
		t.Errorf("HostRegions without restriction = %v, want nil", got)
	}
}

// Without a region that all restricted routes allow, those allowed by most of them are
// returned: callers must be given some entry.
func TestHostRegionsAreThoseAllowedByMostRoutes(t *testing.T) {
	restricted := func(prefix string, regions ...domain.Region) routes.Route {
		r := route(prefix, "h", prefix)
		r.Regions = regions
		return r
	}
	for name, c := range map[string]struct {
		routes []routes.Route
		want   []domain.Region
	}{
		"one of three differs": {[]routes.Route{restricted("/a/", "west"), restricted("/b/", "west", "east"), restricted("/c/", "south")}, []domain.Region{"west"}},
		"all differ":           {[]routes.Route{restricted("/a/", "west"), restricted("/b/", "east")}, []domain.Region{"east", "west"}},
	} {
		if got := table(t, c.routes...).HostRegions("H"); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

func TestInvalidTablesAreRejected(t *testing.T) {
	for name, change := range map[string]func(*routes.Route){
		"no host":         func(r *routes.Route) { r.Host = "" },
		"prefix":          func(r *routes.Route) { r.PathPrefix = "/x" },
		"kind":            func(r *routes.Route) { r.Kind = "odd" },
		"timeout":         func(r *routes.Route) { r.Timeout = 0 },
		"attempts":        func(r *routes.Route) { r.MaxAttempts = 0 },
		"unknown service": func(r *routes.Route) { r.Split = []routes.WeightedService{{Service: "none", Weight: 1}} },
		"no weight":       func(r *routes.Route) { r.Split[0].Weight = 0 },
	} {
		r := route("r", "h", "/")
		change(&r)
		if _, err := routes.New(1, []routes.Route{r}, []routes.Service{{Name: "app"}}, routes.Limits{}); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

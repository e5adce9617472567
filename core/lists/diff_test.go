package lists_test

import (
	"slices"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

func TestDiff(t *testing.T) {
	tests := map[string]struct {
		change func(d *lists.Document)
		want   []string
	}{
		"nothing":          {func(*lists.Document) {}, nil},
		"order of regions": {func(d *lists.Document) { slices.Reverse(d.Regions) }, nil},
		"limit":            {func(d *lists.Document) { d.Plans[0].Limits.Concurrency = 9 }, []string{`~ plan "design" limits.concurrency: 1 -> 9`}},
		"region":           {func(d *lists.Document) { d.Regions = []domain.Region{"sofia", "bucharest"} }, []string{`- region "frankfurt"`, `+ region "bucharest"`}},
		"customer removed": {func(d *lists.Document) { d.Customers = nil },
			[]string{`- customer "mill" (plan "design", key_hashes [` + lists.HashKey("k") + `])`}},
		"service added": {func(d *lists.Document) {
			d.Services = []lists.Service{{ID: "mill-app", Routes: []lists.Route{{Methods: []string{"post"}, PathPrefix: "/vats"}}}}
		}, []string{`+ service "mill-app" (routes [POST /vats not repeatable])`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before, after := document(1), document(1)
			test.change(&after)
			if got := lists.Diff(&before, &after); !slices.Equal(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

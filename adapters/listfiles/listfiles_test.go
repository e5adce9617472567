package listfiles_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/listfiles"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const plans = `regions: [sofia]
services:
  - id: mill-app
plans:
  - id: design
    models: [weave-model]
    services: [mill-app]
    regions: [sofia]
`

const customers = "customers:\n  - id: mill\n    plan: design\n"

func TestParseReportsProblemWithPosition(t *testing.T) {
	tests := map[string]struct{ customers, plans, want string }{
		"unknown region": {customers, plans + "  - id: b\n    regions: [atlantis]\n", `p.yaml:10:15: plans[1].regions[0]: plan "b": unknown region "atlantis"`},
		"unknown key":    {customers, plans + "    colour: red\n", "p.yaml:9:5: plans[0].colour: unknown key"},
		"unknown plan":   {"customers:\n  - {id: mill, plan: gold}\n", plans, `c.yaml:2:16: customers[0].plan: customer "mill": unknown plan "gold"`},
		"plans as text":  {customers, "plans: all\n", `p.yaml:1:1: plans: want a list, found "all"`},
		"limit as text":  {customers, plans + "    priority: high\n", `p.yaml:9:5: plans[0].priority: want a whole number, found "high"`},
		"key not hashed": {customers + "    key_hashes: [secret]\n", plans, `c.yaml:4:18: customers[0].key_hashes[0]: customer "mill": not a SHA-256 in hex`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, problems := listfiles.Parse("c.yaml", []byte(test.customers), "p.yaml", []byte(test.plans))
			if got := problems.Error(); got != test.want {
				t.Errorf("got  %s\nwant %s", got, test.want)
			}
		})
	}
}

func TestLoadAcceptsExampleLists(t *testing.T) {
	for _, name := range []string{"grachtwerk", "rodopa"} {
		if _, err := listfiles.Load(filepath.Join("../../examples", name)); err != nil {
			t.Error(err)
		}
	}
}

func TestLoadRejectsListsOf2MB(t *testing.T) {
	dir := t.TempDir()
	padding := strings.Repeat("x", 80)
	var b strings.Builder
	b.WriteString("customers:\n")
	for i := range 20000 {
		fmt.Fprintf(&b, "  - {id: c%d-%s, plan: design}\n", i, padding)
	}
	writeFile(t, filepath.Join(dir, listfiles.CustomersFile), b.String())
	writeFile(t, filepath.Join(dir, listfiles.PlansFile), plans)
	_, err := listfiles.Load(dir)
	if !errors.Is(err, errkind.Of(errkind.BodyTooLarge)) {
		t.Fatalf("got error %.200v, want kind body_too_large", err)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(customers), []byte(plans))
	f.Add([]byte("customers: [{}]"), []byte("plans: {a: [1, *x]}"))
	f.Fuzz(func(t *testing.T, c, p []byte) {
		listfiles.Parse("c.yaml", c, "p.yaml", p)
	})
}

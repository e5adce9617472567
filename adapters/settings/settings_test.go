package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/crocusspread/crocusspread/adapters/settings"
)

const valid = `node: {id: n1, region: sofia, failure_domain: sofia-a}
listen: {caller: "127.0.0.1:8080", peer: "127.0.0.1:8081", admin: "127.0.0.1:8082"}
platform: {url: "http://127.0.0.1:7000"}
`

// invalid holds invalid files by name; the golden files contain the messages.
var invalid = map[string]string{
	"unknown keys":        valid + "colour: red\nsizes: {max_boddy: 1MiB}\n",
	"repeated key":        valid + "profile: cost\nprofile: latency\n",
	"wrong units":         valid + "time_limits: {header: 5, request: 10min, progress: fast}\nsizes: {max_body: 8MB, max_header: 4096}\n",
	"wrong types":         valid + "profile: [cost]\nlink_budgets: {region: a}\n",
	"half-given TLS":      valid + "tls:\n  callers: {cert: a.pem}\n  nodes: {cert: b.pem, ca: c.pem}\n",
	"contradictory times": valid + "time_limits: {request: 10s, progress: 20s, header: 30s}\ndrain: {entry_ttl: 20s, max: 10s}\n",
	"drain cuts requests": valid + "time_limits: {request: 1h}\n",
	"out of range":        valid + "heartbeat_interval: 1m\nsizes: {max_body: 1B}\n",
	"links":               valid + "link_budgets:\n  - {region: sofia, megabits_per_second: 5}\n  - {region: a, megabits_per_second: 0}\n  - {region: a, megabits_per_second: 5}\n",
	"addresses":           "node: {id: n1, region: sofia, failure_domain: sofia-a}\nlisten: {caller: \"localhost:80\", peer: \"0.0.0.0:81\", admin: \"127.0.0.1:0\"}\nplatform: {url: \"ftp://x\"}\n",
	"same address":        strings.ReplaceAll(valid, "8082", "8080"),
	"required keys":       "profile: fastest\n",
	"anchors":             "node: &n {id: n1}\nlisten: *n\n",
	"malformed":           "node: {id: n1\n",
	"two documents":       valid + "---\n" + valid,
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	golden := goldie.New(t)
	for name, text := range invalid {
		t.Run(name, func(t *testing.T) {
			_, problems := settings.Parse("node.yaml", []byte(text))
			if len(problems) == 0 {
				t.Fatal("got no problems, want the file rejected")
			}
			golden.Assert(t, strings.ReplaceAll(name, " ", "-"), []byte(problems.Error()+"\n"))
		})
	}
}

func TestMissingKeyFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	text := valid + "tls: {callers: {cert: a.pem, key: b.pem}}\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := settings.Load(path)
	if err == nil || !strings.Contains(err.Error(), "tls.callers.key") {
		t.Fatalf("got error %v, want one that names tls.callers.key", err)
	}
}

func TestValidSettingsKeepDefaults(t *testing.T) {
	s, problems := settings.Parse("node.yaml", []byte(valid))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if s.Sizes != settings.Defaults().Sizes || s.Node.ID != "n1" {
		t.Errorf("got settings %+v, want node n1 with the default sizes", s)
	}
}

func TestPrintedDefaultsAreValidExceptRequiredKeys(t *testing.T) {
	var out bytes.Buffer
	if err := settings.PrintDefaults(&out); err != nil {
		t.Fatal(err)
	}
	_, problems := settings.Parse("defaults.yaml", out.Bytes())
	for _, p := range problems {
		if p.Message != "is required" {
			t.Errorf("%s\n%s", p, out.String())
		}
	}
}

func TestSettingsPageContainsTable(t *testing.T) {
	var table bytes.Buffer
	if err := settings.PrintTable(&table); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(page, table.Bytes()) {
		t.Errorf("docs/operators/settings.md does not contain this table:\n%s", table.String())
	}
}

func TestExampleSettingsLoad(t *testing.T) {
	for _, name := range []string{"grachtwerk", "rodopa"} {
		if _, err := settings.Load(filepath.Join("../../examples", name, "node.yaml")); err != nil {
			t.Error(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	for _, text := range invalid {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		settings.Parse("node.yaml", data)
	})
}

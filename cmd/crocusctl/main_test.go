package main

import (
	"bytes"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/operatorcli"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// TestExitCodes checks the exit code of valid and invalid command lines and of failed
// commands.
func TestExitCodes(t *testing.T) {
	examples := "../../examples/rodopa"
	tests := map[string]struct {
		args []string
		want int
	}{
		"valid lists":         {[]string{"validate", "--dir", examples}, 0},
		"missing lists":       {[]string{"validate", "--dir", t.TempDir()}, errkind.Lookup(errkind.NotFound).ExitCode},
		"platform down":       {[]string{"plan", "--platform", "http://127.0.0.1:1", "--dir", examples}, errkind.Lookup(errkind.StoreUnavailable).ExitCode},
		"unknown command":     {[]string{"conquer"}, exitUsage},
		"unexpected argument": {[]string{"validate", "x"}, exitUsage},
		"no reason given":     {[]string{"apply", "--platform", "http://127.0.0.1:1", "--author", "anna"}, exitUsage},
		"help":                {[]string{"--help"}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if got := run(test.args, operatorcli.Output{Out: &out, Err: &out}); got != test.want {
				t.Errorf("got exit code %d, want %d; output: %s", got, test.want, out.String())
			}
		})
	}
}

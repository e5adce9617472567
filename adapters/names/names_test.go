package names_test

import (
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/names"
)

func TestCheckAddress(t *testing.T) {
	for text, valid := range map[string]bool{
		"10.0.0.1:80": true, "host.example:65535": true, "[::1]:8080": true, "10.0.0.1:65536": false, "10.0.0.1:0": false, "10.0.0.1:-1": false,
		"10.0.0.1": false, ":80": false, "a b:80": false, "a\r\nb:80": false, "a/b:80": false, "": false, strings.Repeat("a", 300) + ":80": false, "host:http": false,
	} {
		if err := names.CheckAddress(text); (err == nil) != valid {
			t.Errorf("%q: got error %v, want valid %v", text, err, valid)
		}
	}
}

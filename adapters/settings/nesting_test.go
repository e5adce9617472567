package settings_test

import (
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/settings"
)

func TestDeeplyNestedFileIsRejected(t *testing.T) {
	for _, depth := range []int{40, 1000} {
		text := "node: " + strings.Repeat("[", depth) + strings.Repeat("]", depth) + "\n"
		if _, problems := settings.Parse("node.yaml", []byte(text)); len(problems) == 0 {
			t.Errorf("got no problem for a nesting depth of %d, want the file rejected", depth)
		}
	}
}

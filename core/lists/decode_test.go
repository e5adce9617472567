package lists_test

import (
	"testing"

	"github.com/crocusspread/crocusspread/core/lists"
)

func FuzzDecode(f *testing.F) {
	f.Add(versionOne)
	f.Add([]byte(`{"version":2,"change":{"version":1}}`))
	f.Add([]byte(`{"version":18446744073709551615,"document":{"plans":[{"regions":null}]}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		v, err := lists.Decode(value)
		if err == nil && v.Version != v.Change.Version {
			t.Errorf("Decode accepted version %d with a change of version %d", v.Version, v.Change.Version)
		}
	})
}

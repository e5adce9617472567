package node

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/ports"
)

func TestWholeVMListIntervalGrowsWithRows(t *testing.T) {
	rows := func(n int) *[]ports.VM {
		vms := make([]ports.VM, n)
		return &vms
	}
	for name, c := range map[string]struct {
		known *[]ports.VM
		want  time.Duration
	}{
		"never read": {nil, 0},
		"few rows":   {rows(10), minWholeVMListInterval},
		"930 rows":   {rows(930), 930 * time.Second / vmRowsPerSecond},
	} {
		if got := wholeVMListInterval(c.known); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}

package boottime

import (
	"testing"
	"time"
)

func TestClockAdvances(t *testing.T) {
	before := Now()
	time.Sleep(20 * time.Millisecond)
	if elapsed := Now() - before; before <= 0 || elapsed < 20*time.Millisecond || elapsed > 10*time.Second {
		t.Errorf("the clock went from %v to %v in 20 ms", before, before+elapsed)
	}
}

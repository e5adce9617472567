package node

import (
	"testing"

	"github.com/crocusspread/crocusspread/core/operations"
)

func TestUnfinishedOperationIsReportedAsRunning(t *testing.T) {
	for state, want := range map[operations.State]string{
		operations.Started: "running", operations.Dispatched: "running", operations.Done: "done",
		operations.NotRun: "not_run", operations.Unknown: "unknown",
	} {
		if got := callerState(state); got != want {
			t.Errorf("%s: got %q, want %q", state, got, want)
		}
	}
}

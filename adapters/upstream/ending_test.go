package upstream

import (
	"errors"
	"testing"
)

// TestEndOfAnswerIsJudgedByOtherConnectionsOfItsProcess: whether the address accepts connections decided alone.
func TestEndOfAnswerIsJudgedByOtherConnectionsOfItsProcess(t *testing.T) {
	for name, c := range map[string]struct {
		evidence endEvidence
		connect  error
		leaving  bool
		complete bool
	}{
		"alone, accepts connections":                                 {endEvidence{}, nil, false, true},
		"alone, refuses them":                                        {endEvidence{orderly: true}, errNotRunning, false, false},
		"alone, nothing is known":                                    {endEvidence{orderly: true}, errLivenessUnknown, false, false},
		"others are used later, refuses them":                        {endEvidence{heard: 1}, errNotRunning, false, true},
		"others are used later, paths hang":                          {endEvidence{heard: 1}, errLivenessUnknown, false, true},
		"others remain open, refuses them":                           {endEvidence{open: 1}, errNotRunning, false, true},
		"others remain open, paths hang":                             {endEvidence{open: 1}, errLivenessUnknown, false, false},
		"others were cut, another process accepts":                   {endEvidence{orderly: true, cut: 1}, nil, false, false},
		"others were cut, it leaves":                                 {endEvidence{orderly: true, cut: 1}, errNotRunning, true, false},
		"others were cut by the network, some remain open":           {endEvidence{cut: 1, open: 1}, errNotRunning, false, true},
		"the last one of an upstream that leaves":                    {endEvidence{orderly: true}, errNotRunning, true, true},
		"the last one of an upstream that leaves, between events":    {endEvidence{}, errNotRunning, true, false},
		"the last one of an upstream that leaves, its host is gone":  {endEvidence{orderly: true}, errLivenessUnknown, true, true},
		"the last one after the listener was closed":                 {endEvidence{orderly: true, closedListener: true}, errNotRunning, false, true},
		"the last one after the listener was closed, between events": {endEvidence{closedListener: true}, errNotRunning, false, false},
	} {
		err := judgeEnd(c.evidence, c.connect, c.leaving)
		if (err == nil) != c.complete {
			t.Errorf("%s: got %v, want complete %v", name, err, c.complete)
		}
		if err != nil && c.evidence.cut > 0 && !errors.Is(err, errProcessEnded) {
			t.Errorf("%s: got %v, want %v", name, err, errProcessEnded)
		}
	}
}

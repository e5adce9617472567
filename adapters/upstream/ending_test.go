package upstream

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
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

// scriptedConn returns reads of given results, each after a time.
type scriptedConn struct {
	net.Conn
	reads []scriptedRead
}

type scriptedRead struct {
	after time.Duration
	n     int
	err   error
}

func (c *scriptedConn) Read([]byte) (int, error) {
	r := c.reads[0]
	c.reads = c.reads[1:]
	time.Sleep(r.after)
	return r.n, r.err
}

func (c *scriptedConn) Close() error { return nil }

// inUse returns a connection of the process on which an answer has begun.
func (p *processes) inUse(process processKey, reads ...scriptedRead) *trackedConn {
	c := &trackedConn{Conn: &scriptedConn{reads: reads}, processes: p}
	c.begin(&connUse{process: process})
	c.confirm()
	return c
}

// TestEndThatIsReadLateIsComparedWithEarlierEnds: the caller of an answer had not read on while its upstream crashed.
func TestEndThatIsReadLateIsComparedWithEarlierEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, process := newProcesses(), processKey{id: "u1"}
		late := p.inUse(process, scriptedRead{n: 1}, scriptedRead{err: io.EOF})
		other := p.inUse(process, scriptedRead{after: 300 * time.Millisecond, err: io.EOF})
		_, _ = late.Read(nil)  // its bytes
		_, _ = other.Read(nil) // cut off in the middle of an answer
		time.Sleep(500 * time.Millisecond)
		_, _ = late.Read(nil)
		endedAt := time.Now()
		time.Sleep(livenessObservation)
		if e := p.evidence(process, late, endedAt); e.cut != 1 || e.outlived() {
			t.Errorf("got %+v, want one connection that was cut in the time in which the other may have ended", e)
		}
	})
}

// TestConnectionThatEndsBeforeItsAnswerIsConfirmedIsForgotten: net/http reads the end of one without a body first.
func TestConnectionThatEndsBeforeItsAnswerIsConfirmedIsForgotten(t *testing.T) {
	p := newProcesses()
	c := &trackedConn{Conn: &scriptedConn{reads: []scriptedRead{{err: io.EOF}}}, processes: p}
	c.begin(&connUse{process: processKey{id: "u1"}})
	_, _ = c.Read(nil)
	c.confirm()
	if n := len(p.connections); n > 0 {
		t.Errorf("connections of %d processes are kept after all have ended, want none", n)
	}
}

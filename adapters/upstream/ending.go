package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// EndOfAnswer is the judgement about an answer that ended with its connection, and what it rests on.
type EndOfAnswer struct {
	Instance domain.UpstreamID
	Complete bool
	// Connect is the result of opening a new connection: accepted, refused or unknown.
	Connect string
	// Leaving is set if the upstream is known to stop as planned.
	Leaving bool
	// Orderly is set if the connection ended without a reset right after its last bytes.
	Orderly bool
	// Heard, Open and Cut are the numbers of other connections of the process that it used later, that remained open, and
	// that ended at the same moment in the middle of an answer.
	Heard, Open, Cut int
	// ClosedListener is set if the process had been seen to run while it refused connections.
	ClosedListener bool
}

// Accepted reports whether the upstream accepted a new connection.
func (e EndOfAnswer) Accepted() bool { return e.Connect == connectAccepted }

const (
	connectAccepted = "accepted"
	connectRefused  = "refused"
	connectUnknown  = "unknown"
)

var errProcessEnded = errors.New("connections of the process ended together in the middle of answers")

// ending is the end of an answer that has neither a length nor chunks.
type ending struct {
	process processKey
	conn    *trackedConn // nil if the connection is not tracked
	at      time.Time
	// leaving reports whether the upstream is known to stop as planned.
	leaving func() bool
}

// checkEnd returns nil if the answer is complete: the process ran on after its end, or was about to exit and had done
// its work. Otherwise the end may be that of a process that crashed.
func (r *Routed) checkEnd(ctx context.Context, e ending) error {
	connectErr := r.liveness.check(ctx, e.process.address)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	timer := time.NewTimer(time.Until(e.at.Add(livenessObservation)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	evidence := r.processes.evidence(e.process, e.conn, e.at)
	if errors.Is(connectErr, errNotRunning) && evidence.outlived() {
		r.processes.recordClosedListener(e.process)
	}
	leaving := e.leaving != nil && e.leaving()
	err := judgeEnd(evidence, connectErr, leaving)
	r.endJudged(EndOfAnswer{
		Instance: e.process.id, Complete: err == nil, Connect: connectResult(connectErr), Leaving: leaving, Orderly: evidence.orderly,
		Heard: evidence.heard, Open: evidence.open, Cut: evidence.cut, ClosedListener: evidence.closedListener,
	})
	return err
}

func connectResult(err error) string {
	switch {
	case err == nil:
		return connectAccepted
	case errors.Is(err, errNotRunning):
		return connectRefused
	}
	return connectUnknown
}

// judgeEnd decides whether an answer that ended with its connection is complete. Whether the address accepts connections says
// little: a process may stop accepting before it has finished, and another one may have replaced it. What the other connections of the
// process show comes first.
func judgeEnd(e endEvidence, connectErr error, leaving bool) error {
	switch {
	case e.heard > 0, e.open > 0 && !errors.Is(connectErr, errLivenessUnknown):
		return nil
	case e.cut > 0:
		return fmt.Errorf("%w: %d others", errProcessEnded, e.cut)
	case connectErr == nil:
		return nil
	case e.orderly && (leaving || e.closedListener):
		return nil // it has finished its last answer
	}
	return connectErr
}

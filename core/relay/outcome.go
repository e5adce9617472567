package relay

import (
	"errors"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
)

// ValidStatus reports whether a status is one of a final answer. Upstreams in trouble may send others, such as 000.
func ValidStatus(status int) bool { return status >= 200 && status <= 599 }

// result is the outcome of one attempt.
type result struct {
	// delivered is set once the caller has the complete answer.
	delivered bool
	// err is the failure that the caller receives unless another attempt follows.
	err *errkind.Error
	// errorAnswer is the upstream's own error answer, which is delivered to the caller
	// unless another attempt succeeds.
	errorAnswer *errorAnswer
	// reached is set if the request was sent to an upstream.
	reached bool
	// ran states whether the upstream ran the request.
	ran domain.Run
	// upstreamOutcome is what the attempt shows about the upstream.
	upstreamOutcome instances.Outcome
	// callerDisconnected is set if the caller's connection is closed.
	callerDisconnected bool
	status             int
}

// connectionLost reports whether the upstream refused, closed or reset the connection, or did not accept it in
// time.
func (c *result) connectionLost() bool {
	return c.upstreamOutcome == instances.Unreachable || c.err != nil && errors.Is(c.err, ErrConnectionClosed)
}

// loss returns how the connection was lost.
func (c *result) loss() instances.Loss {
	var t interface{ Timeout() bool }
	switch {
	case c.err == nil:
		return instances.LossClosed
	case errors.Is(c.err, ErrConnectionRefused):
		return instances.LossRefused
	case errors.As(c.err, &t) && t.Timeout():
		return instances.LossTimedOut
	}
	return instances.LossClosed
}

type errorAnswer struct {
	head Head
	body []byte
}

func failedResult(k errkind.Kind, ran domain.Run, o instances.Outcome, format string, args ...any) result {
	return result{
		err:     errkind.New(k, format, args...).WithRun(ran),
		reached: o != instances.Unreachable, ran: ran, upstreamOutcome: o,
	}
}

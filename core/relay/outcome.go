package relay

import (
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
)

// result is what came of one attempt.
type result struct {
	// delivered is set once the caller has the whole answer.
	delivered bool
	// err is the failure that the caller gets unless another attempt follows.
	err *errkind.Error
	// kept is an upstream's own failure answer, which goes to the caller unless
	// another attempt does better.
	kept *keptAnswer
	// reached is set if the request was handed to an upstream.
	reached bool
	// ran is whether the upstream ran it.
	ran domain.Run
	// judged is what the attempt says of the upstream.
	judged instances.Outcome
	// callerLeft is set if the caller's connection is gone.
	callerLeft bool
	status     int
}

type keptAnswer struct {
	head Head
	body []byte
}

func failed(k errkind.Kind, ran domain.Run, o instances.Outcome, format string, args ...any) result {
	return result{
		err:     errkind.New(k, format, args...).WithRun(ran),
		reached: o != instances.Unreachable, ran: ran, judged: o,
	}
}

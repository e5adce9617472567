package gateway

import (
	"context"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/operations"
)

// executeOperation runs an attempt at a non-repeatable call for its issuer. The
// attempt is admitted before anything else, so that a refusal leaves a
// tombstone and no copy of the message runs later.
func (g *Gateway) executeOperation(ctx context.Context, fwd *Forward, w answer.Writer) error {
	admission, err := g.deps.Executions.Admit(attemptOf(fwd), g.deps.Now())
	if err != nil {
		return err
	}
	defer func() { admission.Close(g.deps.Now()) }()
	choice, err := g.place(ctx, fwd, Tried{})
	if err != nil {
		return g.refuse(admission, err)
	}
	if err := admission.Dispatch(); err != nil {
		return err
	}
	err = g.dispatch(ctx, *choice.Upstream, fwd, &ranWriter{Writer: w, ran: func() { admission.Ran(g.deps.Now()) }})
	if err != nil && errkind.From(err).Verdict() == domain.RunNo {
		admission.Undelivered()
		return g.refuse(admission, err)
	}
	return err
}

// refuse answers "not run", which holds only if the tombstone could be left.
func (g *Gateway) refuse(admission *operations.Admission, cause error) error {
	e := *errkind.From(cause)
	if err := admission.NotRun(g.deps.Now()); err != nil {
		return e.WithRun(domain.RunUnknown)
	}
	return e.WithRun(domain.RunNo)
}

// ranWriter reports the head: an upstream that answers has run the call.
type ranWriter struct {
	answer.Writer
	ran func()
}

// WriteHead implements answer.Writer.
func (r *ranWriter) WriteHead(h answer.Head) error {
	r.ran()
	return r.Writer.WriteHead(h)
}

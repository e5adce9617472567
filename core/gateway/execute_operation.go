package gateway

import (
	"context"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/operations"
)

// executeOperation runs an attempt of a non-repeatable call for its issuer. The attempt
// is admitted first, so that a refusal leaves a tombstone and no copy of the message can
// run later.
func (g *Gateway) executeOperation(ctx context.Context, fwd *ForwardedRequest, w answer.Writer) error {
	admission, err := g.deps.Executions.Admit(attemptOf(fwd), g.deps.Now())
	if err != nil {
		return err
	}
	defer func() { admission.Close(g.deps.Now()) }()
	choice, err := g.chooseUpstream(ctx, fwd, Excluded{})
	if err != nil {
		return g.refuse(admission, err)
	}
	if err := admission.Dispatch(); err != nil {
		return err
	}
	err = g.dispatch(ctx, *choice.Upstream, fwd, &headWriter{Writer: w, onHead: func() { admission.EndRan(g.deps.Now()) }})
	if err != nil && errkind.From(err).Verdict() == domain.RunNo {
		admission.MarkUndelivered()
		return g.refuse(admission, err)
	}
	return err
}

// refuse returns cause with the verdict domain.RunNo, which is only valid if the
// tombstone was recorded.
func (g *Gateway) refuse(admission *operations.Admission, cause error) error {
	e := *errkind.From(cause)
	if err := admission.EndNotRun(g.deps.Now()); err != nil {
		return e.WithRun(domain.RunUnknown)
	}
	return e.WithRun(domain.RunNo)
}

// headWriter calls onHead for the head: an upstream that answers has run the call.
type headWriter struct {
	answer.Writer
	onHead func()
}

// WriteHead implements answer.Writer.
func (r *headWriter) WriteHead(h answer.Head) error {
	r.onHead()
	return r.Writer.WriteHead(h)
}

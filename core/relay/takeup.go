package relay

import (
	"context"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// takeUp restricts a request that takes up a stream to the version of the software that began it. If that is not known, the
// request is refused.
func (a *attempts) takeUp(ctx context.Context) *Failure {
	if a.Streams == nil || a.r.Relayed || !a.r.Route.Resumable || a.r.ResumeAfter == "" {
		return nil
	}
	software, known := a.Streams.Origin(ctx, a.r.Service, a.r.Resumes)
	if known {
		a.streamSoftware = software
		return nil
	}
	a.Metrics.Count("relay.unknown_origin", 1)
	err := errkind.New(errkind.NoCapacity, "the stream of request %q cannot go on: it is not known which version of the software of service %q began it", a.r.Resumes, a.r.Service)
	a.last = result{err: a.withRetryAfter(err), ran: domain.RunNo}
	return a.fail(ctx)
}

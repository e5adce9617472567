package operations

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Run is the right to run one operation. It is owned by one goroutine and ends with
// Complete, EndRan, EndNotRun or EndUnknown, or is abandoned with Close. It
// implements answer.Writer for the run's answer.
type Run struct {
	*Record
	ctx context.Context
}

// WithContext sets the context that cancels waits for the initial caller's reader.
func (r *Run) WithContext(ctx context.Context) *Run {
	r.ctx = ctx
	return r
}

// Reader returns the reader of the caller that started the operation. It must be
// called before anything is written. Unlike the readers of repeats, it receives the
// complete answer even if the answer is too large to retain, by applying
// backpressure to the run.
func (r *Run) Reader() *Reader {
	return r.attach(true)
}

// Dispatch must be called immediately before the operation is sent to an executor.
// It returns the attempt's number, starting at 1, which is sent along. If the
// operation was started longer than MaxRun ago, Dispatch ends it as not run and
// fails with operation_not_run.
func (r *Run) Dispatch(to ExecutorRef, now time.Time) (uint32, error) {
	if now.Sub(r.shard.origin)-r.started > r.shard.config.MaxRun {
		err := notRunError()
		if endErr := r.end(Burn, err, now); endErr != nil {
			return 0, endErr
		}
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.transition(Dispatch); err != nil {
		return 0, err
	}
	r.attempt++
	r.executor = to
	return r.attempt, nil
}

// MarkRefused records a typed refusal by the executor, or the proof that nothing
// reached it. The operation may be dispatched again only afterwards. MarkRefused fails
// once the answer's head has been written.
func (r *Run) MarkRefused() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retained.head != nil {
		return errkind.New(errkind.Internal, "operation: refused after the answer's head was written")
	}
	return r.transition(Refuse)
}

// Complete ends the operation after the complete answer has been written.
func (r *Run) Complete(now time.Time) error {
	r.mu.Lock()
	complete := r.retained.head != nil
	r.mu.Unlock()
	if !complete {
		return errkind.New(errkind.Internal, "operation: completed without an answer")
	}
	return r.end(Complete, nil, now)
}

// EndRan ends an operation that is known to have run but whose answer is lost.
// Callers get answer_not_kept with verdict "yes".
func (r *Run) EndRan(now time.Time) error {
	return r.end(Complete, errkind.New(errkind.AnswerNotKept, "the operation ran, but its answer was lost"), now)
}

// EndNotRun ends an operation that no executor has received, so that it never runs.
// Repeats get cause with verdict "no".
func (r *Run) EndNotRun(cause *errkind.Error, now time.Time) error {
	return r.end(Burn, withRunNo(cause), now)
}

// EndUnknown ends an operation that may have run. Repeats get cause with verdict
// "unknown".
func (r *Run) EndUnknown(cause *errkind.Error, now time.Time) error {
	return r.end(Lose, withRunUnknown(cause), now)
}

// Close abandons an operation that has not ended: it ends as not run if no executor
// has received it, otherwise as unknown. Defer it.
func (r *Run) Close(now time.Time) {
	switch r.State() {
	case Started:
		_ = r.end(Burn, notRunError(), now)
	case Dispatched:
		_ = r.end(Lose, errkind.New(errkind.OperationLost, "the run was abandoned"), now)
	}
}

// end applies a final event and starts the retention.
func (r *Run) end(e Event, failure *errkind.Error, now time.Time) error {
	r.mu.Lock()
	if err := r.transition(e); err != nil {
		r.mu.Unlock()
		return err
	}
	r.failure = failure
	r.retained.notify()
	r.releaseUnread()
	r.mu.Unlock()
	r.shard.finish(r.Record, now)
	return nil
}

// WriteHead implements answer.Writer.
func (r *Run) WriteHead(h answer.Head) error {
	size := headSize(h)
	retain := r.shard.reserve(size)
	if !retain {
		r.shard.retainedBytes.Add(size)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Dispatched || r.retained.head != nil {
		r.shard.retainedBytes.Add(-size)
		return errkind.New(errkind.Internal, "operation: answer head written in state %s, or written twice", r.state)
	}
	r.retained.setHead(h, size)
	if !retain {
		r.retained.stopRetaining()
	}
	return nil
}

// WriteChunk implements answer.Writer. It blocks only for the initial caller's
// reader, and only once the answer is too large to retain.
func (r *Run) WriteChunk(p []byte) error {
	size := int64(len(p)) + chunkOverheadBytes
	for {
		retain := r.shard.reserve(size)
		if !retain {
			r.shard.retainedBytes.Add(size)
		}
		progressed, err := r.append(p, size, retain)
		if err != nil || progressed == nil {
			return err
		}
		r.shard.retainedBytes.Add(-size)
		if err := r.awaitProgress(progressed); err != nil {
			return err
		}
	}
}

// append adds a chunk, or returns a channel to wait for. On an error it releases
// the reserved bytes.
func (r *Run) append(p []byte, size int64, retain bool) (<-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Dispatched || r.retained.head == nil {
		r.shard.retainedBytes.Add(-size)
		return nil, errkind.New(errkind.Internal, "operation: answer chunk written in state %s, or without a head", r.state)
	}
	k := &r.retained
	if !retain || k.accountedBytes+size > int64(r.shard.config.MaxAnswerBytes) {
		k.stopRetaining()
	}
	if !k.overflowed {
		k.add(p, size)
		return nil, nil
	}
	if !k.initialAttached {
		r.shard.retainedBytes.Add(-size - k.discardRead())
		return nil, nil
	}
	r.shard.retainedBytes.Add(-k.discardRead())
	if k.accountedBytes+size > maxBackpressureBytes && len(k.chunks) > 0 {
		return k.progressed(), nil
	}
	k.add(p, size)
	return nil, nil
}

func (r *Run) awaitProgress(progress <-chan struct{}) error {
	var done <-chan struct{}
	if r.ctx != nil {
		done = r.ctx.Done()
	}
	select {
	case <-progress:
		return nil
	case <-done:
		return errkind.New(errkind.Canceled, "operation: the wait for the initial caller's reader was canceled: %w", r.ctx.Err())
	}
}

func withRunNo(cause *errkind.Error) *errkind.Error {
	if cause == nil {
		return notRunError()
	}
	c := *cause
	return c.WithRun(verdict(NotRun))
}

func withRunUnknown(cause *errkind.Error) *errkind.Error {
	if cause == nil {
		return errkind.New(errkind.OperationLost, "it cannot be determined whether the operation ran")
	}
	c := *cause
	return c.WithRun(verdict(Unknown))
}

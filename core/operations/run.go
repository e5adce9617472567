package operations

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Run is the right to run one operation. One goroutine holds it; it ends with
// Complete, Ran, NotRun or Lost, or is given up with Close. It is the
// answer.Writer of the run's answer.
type Run struct {
	*Record
	ctx context.Context
}

// WithContext sets the context that ends a wait for the first caller's reader.
func (r *Run) WithContext(ctx context.Context) *Run {
	r.ctx = ctx
	return r
}

// Reader returns the reader of the caller that started the operation. Call it
// before anything is written. Unlike the readers of repeats, it gets the whole
// of an answer too large to keep, by holding back the run.
func (r *Run) Reader() *Reader {
	return r.attach(true)
}

// Dispatch must be called right before the operation is sent to an executor. It
// returns the attempt's number, from 1, which travels along. If the operation
// was started longer than MaxRun ago, it burns it and fails with
// operation_not_run.
func (r *Run) Dispatch(to ExecutorRef, now time.Time) (uint32, error) {
	if now.Sub(r.shard.origin)-r.started > r.shard.config.MaxRun {
		err := burnedError()
		if endErr := r.end(Burn, err, now); endErr != nil {
			return 0, endErr
		}
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.move(Dispatch); err != nil {
		return 0, err
	}
	r.attempt++
	r.executor = to
	return r.attempt, nil
}

// Refused records the executor's typed refusal, or the proof that nothing
// reached it. Only then may the operation be dispatched again. It fails once an
// answer has begun.
func (r *Run) Refused() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kept.head != nil {
		return errkind.New(errkind.Internal, "operation: refused after its answer began")
	}
	return r.move(Refuse)
}

// Complete ends the operation with the whole answer written.
func (r *Run) Complete(now time.Time) error {
	r.mu.Lock()
	whole := r.kept.head != nil
	r.mu.Unlock()
	if !whole {
		return errkind.New(errkind.Internal, "operation: completed without an answer")
	}
	return r.end(Complete, nil, now)
}

// Ran ends an operation that is known to have run, but whose answer is lost.
// Callers get answer_not_kept with run yes.
func (r *Run) Ran(now time.Time) error {
	return r.end(Complete, errkind.New(errkind.AnswerNotKept, "the operation ran, its answer was lost"), now)
}

// NotRun burns an operation that is at no executor. Repeats get cause, whose
// verdict is "no".
func (r *Run) NotRun(cause *errkind.Error, now time.Time) error {
	return r.end(Burn, asNotRun(cause), now)
}

// Lost ends an operation that may have run. Repeats get cause, whose verdict is
// "unknown".
func (r *Run) Lost(cause *errkind.Error, now time.Time) error {
	return r.end(Lose, asUnknown(cause), now)
}

// Close gives up an operation that has not ended: it is burned if it is at no
// executor, else unknown. Call it by defer.
func (r *Run) Close(now time.Time) {
	switch r.State() {
	case Started:
		_ = r.end(Burn, burnedError(), now)
	case Dispatched:
		_ = r.end(Lose, errkind.New(errkind.OperationLost, "the run was given up"), now)
	}
}

// end applies a final event and starts the retention.
func (r *Run) end(e Event, failure *errkind.Error, now time.Time) error {
	r.mu.Lock()
	if err := r.move(e); err != nil {
		r.mu.Unlock()
		return err
	}
	r.failure = failure
	r.kept.wake()
	r.freeUnread()
	r.mu.Unlock()
	r.shard.finish(r.Record, now)
	return nil
}

// WriteHead implements answer.Writer.
func (r *Run) WriteHead(h answer.Head) error {
	charge := headCharge(h)
	keep := r.shard.reserve(charge)
	if !keep {
		r.shard.keptBytes.Add(charge)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Dispatched || r.kept.head != nil {
		r.shard.keptBytes.Add(-charge)
		return errkind.New(errkind.Internal, "operation: an answer begins in state %s", r.state)
	}
	r.kept.setHead(h, charge)
	if !keep {
		r.kept.overflow()
	}
	return nil
}

// WriteChunk implements answer.Writer. It blocks only for the first caller's
// reader, and only once the answer is too large to keep.
func (r *Run) WriteChunk(p []byte) error {
	charge := int64(len(p)) + chunkBytes
	for {
		keep := r.shard.reserve(charge)
		if !keep {
			r.shard.keptBytes.Add(charge)
		}
		wait, err := r.append(p, charge, keep)
		if err != nil || wait == nil {
			return err
		}
		r.shard.keptBytes.Add(-charge)
		if err := r.await(wait); err != nil {
			return err
		}
	}
}

// append adds a chunk, or returns what to wait for. The charge is given back on
// an error.
func (r *Run) append(p []byte, charge int64, keep bool) (<-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Dispatched || r.kept.head == nil {
		r.shard.keptBytes.Add(-charge)
		return nil, errkind.New(errkind.Internal, "operation: a chunk without a head, in state %s", r.state)
	}
	k := &r.kept
	if !keep || k.charged+charge > int64(r.shard.config.MaxAnswerBytes) {
		k.overflow()
	}
	if !k.cut {
		k.add(p, charge)
		return nil, nil
	}
	if !k.firstAttached {
		r.shard.keptBytes.Add(-charge - k.trim())
		return nil, nil
	}
	r.shard.keptBytes.Add(-k.trim())
	if k.charged+charge > holdBackBytes && len(k.chunks) > 0 {
		return k.wait(), nil
	}
	k.add(p, charge)
	return nil, nil
}

func (r *Run) await(progress <-chan struct{}) error {
	var done <-chan struct{}
	if r.ctx != nil {
		done = r.ctx.Done()
	}
	select {
	case <-progress:
		return nil
	case <-done:
		return errkind.New(errkind.Canceled, "operation: the first caller's reader stalled: %w", r.ctx.Err())
	}
}

func asNotRun(cause *errkind.Error) *errkind.Error {
	if cause == nil {
		return burnedError()
	}
	c := *cause
	return c.WithRun(verdict(NotRun))
}

func asUnknown(cause *errkind.Error) *errkind.Error {
	if cause == nil {
		return errkind.New(errkind.OperationLost, "whether the operation ran cannot be found out")
	}
	c := *cause
	return c.WithRun(verdict(Unknown))
}

package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// acquireResult is a resource's decision about a request.
type acquireResult uint8

const (
	// mustWait means that the request has to queue.
	mustWait acquireResult = iota
	// acquired means that the request is admitted; the resource has counted it.
	acquired
	// tooLate means that the request can no longer be served before its deadline.
	tooLate
)

// resource is the capacity that a stage assigns. Its methods are called under the
// stage's lock.
type resource interface {
	tryAcquire(now time.Time, e *entry) acquireResult
	// release reverts tryAcquire.
	release(now time.Time, e *entry)
	// serviceRate returns the slot time, in seconds per second, that is available to
	// requests like e, and the delay until the first of them can be admitted.
	serviceRate(now time.Time, e *entry) (perSecond float64, delay time.Duration)
	// refusal returns the error for a request whose expected wait is wait.
	refusal(reason refusalReason, e *entry, wait time.Duration) error
}

// refusalReason is the reason why a stage refuses a request.
type refusalReason uint8

const (
	queueFull refusalReason = iota
	expectedWaitTooLong
	waitExpired
)

// stage is a resource with the queue of the requests that wait for it.
type stage struct {
	mu         sync.Mutex
	queue      queue
	resource   resource
	maxQueued  int
	throughput throughputMeter
}

// acquire waits until e is admitted. It returns the resource's refusal, or an error of
// kind canceled if the caller disconnects.
func (s *stage) acquire(ctx context.Context, now time.Time, clock func() time.Time, e *entry) error {
	done, err := s.acquireOrEnqueue(now, e)
	if done {
		return err
	}
	timer := time.NewTimer(e.deadline.Sub(now))
	defer timer.Stop()
	select {
	case err := <-e.result:
		return err
	case <-timer.C:
		return s.abandon(clock(), e, s.resource.refusal)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return s.abandon(clock(), e, s.resource.refusal)
		}
		return s.abandon(clock(), e, canceled)
	}
}

func canceled(refusalReason, *entry, time.Duration) error {
	return errkind.New(errkind.Canceled, "the caller disconnected while the request was queued").WithRun(domain.RunNo)
}

// acquireOrEnqueue admits e, refuses it or queues it.
func (s *stage) acquireOrEnqueue(now time.Time, e *entry) (done bool, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.len() == 0 {
		switch s.resource.tryAcquire(now, e) {
		case acquired:
			return true, nil
		case tooLate:
			return true, s.resource.refusal(expectedWaitTooLong, e, s.estimateWait(now, e))
		}
		s.throughput.reset(now)
	}
	e.regionsKey = e.regionsKeyOf()
	wait := s.estimateWait(now, e)
	if s.queue.len() >= s.maxQueued {
		return true, s.resource.refusal(queueFull, e, wait)
	}
	if now.Add(wait).After(e.deadline) {
		return true, s.resource.refusal(expectedWaitTooLong, e, wait)
	}
	e.enqueued = now
	e.result = make(chan error, 1)
	s.queue.push(e)
	// The entry may be admitted before others whose regions have no capacity.
	s.admitQueuedLocked(now)
	return false, nil
}

// estimateWait estimates how long a new request like e would wait.
func (s *stage) estimateWait(now time.Time, e *entry) time.Duration {
	perSecond, delay := s.resource.serviceRate(now, e)
	perSecond = s.throughput.estimate(now, perSecond)
	costAhead := s.queue.costAhead(e.class, e.priority, e.regionsKey)
	if perSecond <= 0 {
		return delay
	}
	return delay + time.Duration(costAhead/perSecond*float64(time.Second))
}

// abandon removes e from the queue and returns the refusal. If e was admitted in the
// meantime, it stays admitted.
func (s *stage) abandon(now time.Time, e *entry, refusal func(refusalReason, *entry, time.Duration) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.remove(e) {
		return <-e.result
	}
	return refusal(waitExpired, e, s.estimateWait(now, e))
}

// admitQueued admits queued requests for which capacity has become available.
func (s *stage) admitQueued(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitQueuedLocked(now)
}

func (s *stage) admitQueuedLocked(now time.Time) {
	var blocked []string
	for s.queue.len() > 0 {
		e := s.queue.next(now, blocked)
		if e == nil {
			return
		}
		switch s.resource.tryAcquire(now, e) {
		case acquired:
			s.throughput.record(now, e.cost)
			s.queue.serve(e)
			e.result <- nil
		case tooLate:
			s.queue.remove(e)
			e.result <- s.resource.refusal(waitExpired, e, s.estimateWait(now, e))
		case mustWait:
			blocked = append(blocked, e.regionsKey)
		}
	}
}

// releaseAndAdmit releases e's capacity and admits queued requests.
func (s *stage) releaseAndAdmit(now time.Time, e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resource.release(now, e)
	s.admitQueuedLocked(now)
}

func (s *stage) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.len()
}

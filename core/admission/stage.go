package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// verdict is what a resource says to a request.
type verdict uint8

const (
	// full means that the request must wait.
	full verdict = iota
	// taken means that the request may go on; the resource counted it.
	taken
	// late means that the request cannot be served in time any more.
	late
)

// resource is what a stage rations. Its methods run under the stage's lock.
type resource interface {
	take(now time.Time, e *entry) verdict
	// back undoes a take.
	back(now time.Time, e *entry)
	// pace returns the slot time, in seconds a second, that requests like e can
	// count on, and the time that passes until the first of them can go on.
	pace(now time.Time, e *entry) (perSecond float64, idle time.Duration)
	// refusal returns the error for a request that would have to wait for wait.
	refusal(why refusalReason, e *entry, wait time.Duration) error
}

// refusalReason says why a stage refuses.
type refusalReason uint8

const (
	queueFull refusalReason = iota
	waitTooLong
	waitedTooLong
)

// stage is a resource with the queue of those who wait for it.
type stage struct {
	mu       sync.Mutex
	queue    queue
	resource resource
	max      int
	pace     pace
}

// enter waits until e may go on. It fails with the resource's refusal, or with
// kind canceled.
func (s *stage) enter(ctx context.Context, now time.Time, clock func() time.Time, e *entry) error {
	done, err := s.tryEnter(now, e)
	if done {
		return err
	}
	timer := time.NewTimer(e.due.Sub(now))
	defer timer.Stop()
	select {
	case err := <-e.answer:
		return err
	case <-timer.C:
		return s.leave(clock(), e, s.resource.refusal)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return s.leave(clock(), e, s.resource.refusal)
		}
		return s.leave(clock(), e, canceled)
	}
}

func canceled(refusalReason, *entry, time.Duration) error {
	return errkind.New(errkind.Canceled, "the caller left while the request waited").WithRun(domain.RunNo)
}

// tryEnter lets e go on, refuses it, or queues it.
func (s *stage) tryEnter(now time.Time, e *entry) (done bool, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.len() == 0 {
		switch s.resource.take(now, e) {
		case taken:
			return true, nil
		case late:
			return true, s.resource.refusal(waitTooLong, e, s.wait(now, e))
		}
		s.pace.reset(now)
	}
	e.places = e.placesOf()
	wait := s.wait(now, e)
	if s.queue.len() >= s.max {
		return true, s.resource.refusal(queueFull, e, wait)
	}
	if now.Add(wait).After(e.due) {
		return true, s.resource.refusal(waitTooLong, e, wait)
	}
	e.enqueued = now
	e.answer = make(chan error, 1)
	s.queue.push(e)
	// An entry may pass those whose places are full.
	s.pumpLocked(now)
	return false, nil
}

// wait estimates how long a new request like e would wait.
func (s *stage) wait(now time.Time, e *entry) time.Duration {
	perSecond, idle := s.resource.pace(now, e)
	perSecond = s.pace.estimate(now, perSecond)
	ahead := s.queue.ahead(e.class, e.priority, e.places)
	if perSecond <= 0 {
		return idle
	}
	return idle + time.Duration(ahead/perSecond*float64(time.Second))
}

// leave takes e out of the queue. It may have been let through meanwhile; then
// it goes on.
func (s *stage) leave(now time.Time, e *entry, refusal func(refusalReason, *entry, time.Duration) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.remove(e) {
		return <-e.answer
	}
	return refusal(waitedTooLong, e, s.wait(now, e))
}

// pump lets through who may go on by now.
func (s *stage) pump(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pumpLocked(now)
}

func (s *stage) pumpLocked(now time.Time) {
	var blocked []string
	for s.queue.len() > 0 {
		e := s.queue.next(now, blocked)
		if e == nil {
			return
		}
		switch s.resource.take(now, e) {
		case taken:
			s.pace.served(now, e.cost)
			s.queue.serve(e)
			e.answer <- nil
		case late:
			s.queue.remove(e)
			e.answer <- s.resource.refusal(waitedTooLong, e, s.wait(now, e))
		case full:
			blocked = append(blocked, e.places)
		}
	}
}

// release undoes a take and lets others through.
func (s *stage) release(now time.Time, e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resource.back(now, e)
	s.pumpLocked(now)
}

func (s *stage) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.len()
}

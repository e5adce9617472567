package operations

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

var smallExecutorConfig = ExecutorConfig{Shards: 1, Retention: time.Minute, MaxRecords: 3, MaxIssuers: 2}

func newExecutor(t testing.TB, c ExecutorConfig) *Executor {
	t.Helper()
	e, err := NewExecutor(executorA, c)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func attemptOf(node domain.NodeID, sequence uint64, number uint32) Attempt {
	p := IDParts{Node: node, Incarnation: 7, Sequence: sequence}
	return Attempt{Operation: p.format(), Issuer: node, IssuerIncarnation: 7, Executor: executorA, Number: number}
}

func admit(t testing.TB, e *Executor, a Attempt, now time.Time) *Admission {
	t.Helper()
	admission, err := e.Admit(a, now)
	if err != nil {
		t.Fatalf("Admit(%+v): %v", a, err)
	}
	return admission
}

func wantOutcome(t testing.TB, e *Executor, a Attempt, now time.Time, want Outcome) {
	t.Helper()
	if got, err := e.Inquire(a, now); err != nil || got != want {
		t.Fatalf("Inquire(%+v) = %s, %v, want %s", a, got, err, want)
	}
}

// refuse ends an admitted attempt as not run, as a typed refusal does.
func refuse(t testing.TB, a *Admission) {
	t.Helper()
	if err := a.EndNotRun(origin); err != nil {
		t.Fatal(err)
	}
}

func TestDuplicateAttemptsAtExecutor(t *testing.T) {
	cases := []struct {
		name         string
		setup        func(t *testing.T, e *Executor)
		message      Attempt
		now          time.Duration
		kind         errkind.Kind // empty: the attempt is admitted
		run          domain.Run
		outcomeAfter Outcome // expected from an inquiry after the Admit
	}{
		{"first arrival", func(*testing.T, *Executor) {}, attemptOf("i", 5, 1), 0, "", "", OutcomeRunning},
		{"duplicate while running", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin) },
			attemptOf("i", 5, 1), 0, errkind.OperationLost, domain.RunUnknown, OutcomeRunning},
		{"later attempt while running", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin) },
			attemptOf("i", 5, 2), 0, errkind.OperationLost, domain.RunUnknown, OutcomeRunning},
		{"duplicate after completion", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin).EndRan(origin) },
			attemptOf("i", 5, 1), 0, errkind.OperationLost, domain.RunUnknown, OutcomeRan},
		{"duplicate after completion and eviction", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin).EndRan(origin) },
			attemptOf("i", 5, 1), time.Minute, errkind.OperationLost, domain.RunUnknown, OutcomeUnknown},
		{"lower sequence number after an eviction", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin).EndRan(origin) },
			attemptOf("i", 4, 1), time.Minute, errkind.OperationLost, domain.RunUnknown, OutcomeUnknown},
		{"higher sequence number after an eviction", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin).EndRan(origin) },
			attemptOf("i", 6, 1), time.Minute, "", "", OutcomeRunning},
		{"duplicate after a refusal", func(t *testing.T, e *Executor) { refuse(t, admit(t, e, attemptOf("i", 5, 1), origin)) },
			attemptOf("i", 5, 1), 0, errkind.OperationNotRun, domain.RunNo, OutcomeNotRun},
		{"later attempt after a refusal", func(t *testing.T, e *Executor) { refuse(t, admit(t, e, attemptOf("i", 5, 1), origin)) },
			attemptOf("i", 5, 2), 0, "", "", OutcomeRunning},
		{"late duplicate after an inquiry answered not run", func(t *testing.T, e *Executor) { wantOutcome(t, e, attemptOf("i", 5, 1), origin, OutcomeNotRun) },
			attemptOf("i", 5, 1), 0, errkind.OperationNotRun, domain.RunNo, OutcomeNotRun},
		{"late duplicate of a second attempt after an inquiry about it", func(t *testing.T, e *Executor) {
			refuse(t, admit(t, e, attemptOf("i", 5, 1), origin))
			wantOutcome(t, e, attemptOf("i", 5, 2), origin, OutcomeNotRun)
		}, attemptOf("i", 5, 2), 0, errkind.OperationNotRun, domain.RunNo, OutcomeNotRun},
		{"late duplicate after eviction of the tombstone", func(t *testing.T, e *Executor) { wantOutcome(t, e, attemptOf("i", 5, 1), origin, OutcomeNotRun) },
			attemptOf("i", 5, 1), time.Minute, errkind.OperationLost, domain.RunUnknown, OutcomeUnknown},
		{"same sequence number of another issuer", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin) },
			attemptOf("j", 5, 1), 0, "", "", OutcomeRunning},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newExecutor(t, smallExecutorConfig)
			c.setup(t, e)
			_, err := e.Admit(c.message, at(c.now))
			if c.kind != "" {
				wantKind(t, err, c.kind, c.run)
			} else if err != nil {
				t.Fatal(err)
			}
			wantOutcome(t, e, c.message, at(c.now), c.outcomeAfter)
		})
	}
}

func TestRestartedExecutorRejectsAttempt(t *testing.T) {
	e, err := NewExecutor(ExecutorRef{executorA.Node, executorA.Incarnation + 1}, smallExecutorConfig)
	if err != nil {
		t.Fatal(err)
	}
	_, err = e.Admit(attemptOf("i", 1, 1), origin)
	wantKind(t, err, errkind.WrongIncarnation, domain.RunUnknown)
	if o, err := e.Inquire(attemptOf("i", 1, 1), origin); o != OutcomeUnknown || err == nil {
		t.Fatalf("Inquire = %s, %v, want an unknown outcome and an error", o, err)
	}
}

func TestAttemptFromAnotherSenderIsRejected(t *testing.T) {
	e := newExecutor(t, smallExecutorConfig)
	a := attemptOf("i", 1, 1)
	a.IssuerIncarnation++
	_, err := e.Admit(a, origin)
	wantKind(t, err, errkind.BadRequest, domain.RunNo)
}

func TestAttemptFrozenBetweenAdmissionAndDispatchStaysRunning(t *testing.T) {
	e := newExecutor(t, smallExecutorConfig)
	a := attemptOf("i", 1, 1)
	admission := admit(t, e, a, origin)
	wantOutcome(t, e, a, at(time.Hour), OutcomeRunning)
	if e.Expire(at(time.Hour)) != 1 {
		t.Fatal("a running attempt was evicted")
	}
	if err := admission.Dispatch(); err != nil {
		t.Fatal(err)
	}
	wantKind(t, admission.EndNotRun(at(time.Hour)), errkind.OperationLost, domain.RunUnknown)
	admission.Close(at(time.Hour))
	wantOutcome(t, e, a, at(time.Hour), OutcomeUnknown)
}

func TestUndeliveredAttemptMayBeRefused(t *testing.T) {
	e := newExecutor(t, smallExecutorConfig)
	admission := admit(t, e, attemptOf("i", 1, 1), origin)
	if err := admission.Dispatch(); err != nil {
		t.Fatal(err)
	}
	if admission.Dispatch() == nil {
		t.Fatal("the second Dispatch succeeded")
	}
	admission.MarkUndelivered()
	refuse(t, admission)
	if admission.Dispatch() == nil {
		t.Fatal("Dispatch succeeded after EndNotRun")
	}
}

func TestEarlierAdmissionCannotEndLaterAttempt(t *testing.T) {
	e := newExecutor(t, smallExecutorConfig)
	early := admit(t, e, attemptOf("i", 1, 1), origin)
	refuse(t, early)
	late := admit(t, e, attemptOf("i", 1, 2), origin)
	early.Close(origin)
	wantOutcome(t, e, attemptOf("i", 1, 2), origin, OutcomeRunning)
	if early.Dispatch() == nil {
		t.Fatal("Dispatch of the refused attempt succeeded")
	}
	if err := late.Dispatch(); err != nil {
		t.Fatal(err)
	}
}

func TestExpiredTombstoneDoesNotEvictRunningAttempt(t *testing.T) {
	e := newExecutor(t, smallExecutorConfig)
	refuse(t, admit(t, e, attemptOf("i", 1, 1), origin))
	admit(t, e, attemptOf("i", 1, 2), at(time.Second))
	wantOutcome(t, e, attemptOf("i", 1, 2), at(time.Minute), OutcomeRunning)
}

func TestExecutorRecordLimits(t *testing.T) {
	e := newExecutor(t, smallExecutorConfig)
	for n := range smallExecutorConfig.MaxRecords {
		admit(t, e, attemptOf("i", uint64(10+n), 1), origin).EndRan(origin)
	}
	refused := attemptOf("i", 20, 1)
	_, err := e.Admit(refused, origin)
	wantKind(t, err, errkind.Overloaded, domain.RunNo)
	wantOutcome(t, e, attemptOf("i", 30, 1), origin, OutcomeNotRun)
	for _, n := range []uint64{20, 30} {
		_, err = e.Admit(attemptOf("i", n, 1), at(time.Minute)) // the earlier records have expired
		wantKind(t, err, errkind.OperationNotRun, domain.RunNo)
	}
	admit(t, e, attemptOf("i", 31, 1), at(time.Minute))
	admit(t, e, attemptOf("j", 1, 1), at(time.Minute))
	_, err = e.Admit(attemptOf("k", 1, 1), at(time.Minute))
	wantKind(t, err, errkind.Overloaded, domain.RunNo)
}

package operations

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

var executorSizes = ExecutorConfig{Shards: 1, Retention: time.Minute, MaxRecords: 3, MaxIssuers: 2}

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
	adm, err := e.Admit(a, now)
	if err != nil {
		t.Fatalf("Admit(%+v): %v", a, err)
	}
	return adm
}

func wantOutcome(t testing.TB, e *Executor, a Attempt, now time.Time, want Outcome) {
	t.Helper()
	if got, err := e.Inquire(a, now); err != nil || got != want {
		t.Fatalf("Inquire(%+v) = %s, %v, want %s", a, got, err, want)
	}
}

// refuse ends an admitted attempt as a typed refusal does.
func refuse(t testing.TB, a *Admission) {
	t.Helper()
	if err := a.NotRun(origin); err != nil {
		t.Fatal(err)
	}
}

func TestCopiesAtExecutor(t *testing.T) {
	cases := []struct {
		name   string
		before func(t *testing.T, e *Executor)
		copy   Attempt
		now    time.Duration
		kind   errkind.Kind // empty: admitted
		run    domain.Run
		then   Outcome // of an inquiry afterwards
	}{
		{"first arrival", func(*testing.T, *Executor) {}, attemptOf("i", 5, 1), 0, "", "", OutcomeRunning},
		{"copy while running", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin) },
			attemptOf("i", 5, 1), 0, errkind.OperationLost, domain.RunUnknown, OutcomeRunning},
		{"later attempt while running", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin) },
			attemptOf("i", 5, 2), 0, errkind.OperationLost, domain.RunUnknown, OutcomeRunning},
		{"copy after it ran", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin).Ran(origin) },
			attemptOf("i", 5, 1), 0, errkind.OperationLost, domain.RunUnknown, OutcomeRan},
		{"copy after it ran and was forgotten", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin).Ran(origin) },
			attemptOf("i", 5, 1), time.Minute, errkind.OperationLost, domain.RunUnknown, OutcomeUnknown},
		{"lower number after one was forgotten", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin).Ran(origin) },
			attemptOf("i", 4, 1), time.Minute, errkind.OperationLost, domain.RunUnknown, OutcomeUnknown},
		{"higher number after one was forgotten", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin).Ran(origin) },
			attemptOf("i", 6, 1), time.Minute, "", "", OutcomeRunning},
		{"copy after a refusal", func(t *testing.T, e *Executor) { refuse(t, admit(t, e, attemptOf("i", 5, 1), origin)) },
			attemptOf("i", 5, 1), 0, errkind.OperationNotRun, domain.RunNo, OutcomeNotRun},
		{"later attempt after a refusal", func(t *testing.T, e *Executor) { refuse(t, admit(t, e, attemptOf("i", 5, 1), origin)) },
			attemptOf("i", 5, 2), 0, "", "", OutcomeRunning},
		{"late copy after not run", func(t *testing.T, e *Executor) { wantOutcome(t, e, attemptOf("i", 5, 1), origin, OutcomeNotRun) },
			attemptOf("i", 5, 1), 0, errkind.OperationNotRun, domain.RunNo, OutcomeNotRun},
		{"late copy of an attempt asked for later", func(t *testing.T, e *Executor) {
			refuse(t, admit(t, e, attemptOf("i", 5, 1), origin))
			wantOutcome(t, e, attemptOf("i", 5, 2), origin, OutcomeNotRun)
		}, attemptOf("i", 5, 2), 0, errkind.OperationNotRun, domain.RunNo, OutcomeNotRun},
		{"late copy after a forgotten tombstone", func(t *testing.T, e *Executor) { wantOutcome(t, e, attemptOf("i", 5, 1), origin, OutcomeNotRun) },
			attemptOf("i", 5, 1), time.Minute, errkind.OperationLost, domain.RunUnknown, OutcomeUnknown},
		{"same number of another issuer", func(t *testing.T, e *Executor) { admit(t, e, attemptOf("i", 5, 1), origin) },
			attemptOf("j", 5, 1), 0, "", "", OutcomeRunning},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newExecutor(t, executorSizes)
			c.before(t, e)
			_, err := e.Admit(c.copy, at(c.now))
			if c.kind != "" {
				wantKind(t, err, c.kind, c.run)
			} else if err != nil {
				t.Fatal(err)
			}
			wantOutcome(t, e, c.copy, at(c.now), c.then)
		})
	}
}

func TestExecutorRestarted(t *testing.T) {
	e, err := NewExecutor(ExecutorRef{executorA.Node, executorA.Incarnation + 1}, executorSizes)
	if err != nil {
		t.Fatal(err)
	}
	_, err = e.Admit(attemptOf("i", 1, 1), origin)
	wantKind(t, err, errkind.WrongIncarnation, domain.RunUnknown)
	if o, err := e.Inquire(attemptOf("i", 1, 1), origin); o != OutcomeUnknown || err == nil {
		t.Fatalf("Inquire = %s, %v", o, err)
	}
}

func TestMessageOfAnotherSender(t *testing.T) {
	e := newExecutor(t, executorSizes)
	a := attemptOf("i", 1, 1)
	a.IssuerIncarnation++
	_, err := e.Admit(a, origin)
	wantKind(t, err, errkind.BadRequest, domain.RunNo)
}

func TestFrozenBetweenAdmissionAndDispatch(t *testing.T) {
	e := newExecutor(t, executorSizes)
	a := attemptOf("i", 1, 1)
	adm := admit(t, e, a, origin)
	wantOutcome(t, e, a, at(time.Hour), OutcomeRunning)
	if e.Expire(at(time.Hour)) != 1 {
		t.Fatal("a running attempt was forgotten")
	}
	if err := adm.Dispatch(); err != nil {
		t.Fatal(err)
	}
	wantKind(t, adm.NotRun(at(time.Hour)), errkind.OperationLost, domain.RunUnknown)
	adm.Close(at(time.Hour))
	wantOutcome(t, e, a, at(time.Hour), OutcomeUnknown)
}

func TestUndeliveredMayBeRefused(t *testing.T) {
	e := newExecutor(t, executorSizes)
	adm := admit(t, e, attemptOf("i", 1, 1), origin)
	if err := adm.Dispatch(); err != nil {
		t.Fatal(err)
	}
	if adm.Dispatch() == nil {
		t.Fatal("dispatched twice")
	}
	adm.Undelivered()
	refuse(t, adm)
	if adm.Dispatch() == nil {
		t.Fatal("dispatched after not run")
	}
}

func TestHolderOfEarlierAttemptCannotEndLaterOne(t *testing.T) {
	e := newExecutor(t, executorSizes)
	early := admit(t, e, attemptOf("i", 1, 1), origin)
	refuse(t, early)
	late := admit(t, e, attemptOf("i", 1, 2), origin)
	early.Close(origin)
	wantOutcome(t, e, attemptOf("i", 1, 2), origin, OutcomeRunning)
	if early.Dispatch() == nil {
		t.Fatal("the refused attempt dispatched")
	}
	if err := late.Dispatch(); err != nil {
		t.Fatal(err)
	}
}

func TestOldTombstoneDoesNotForgetRunningAttempt(t *testing.T) {
	e := newExecutor(t, executorSizes)
	refuse(t, admit(t, e, attemptOf("i", 1, 1), origin))
	admit(t, e, attemptOf("i", 1, 2), at(time.Second))
	wantOutcome(t, e, attemptOf("i", 1, 2), at(time.Minute), OutcomeRunning)
}

func TestExecutorMemoryBound(t *testing.T) {
	e := newExecutor(t, executorSizes)
	for n := range executorSizes.MaxRecords {
		admit(t, e, attemptOf("i", uint64(10+n), 1), origin).Ran(origin)
	}
	refused := attemptOf("i", 20, 1)
	_, err := e.Admit(refused, origin)
	wantKind(t, err, errkind.Overloaded, domain.RunNo)
	wantOutcome(t, e, attemptOf("i", 30, 1), origin, OutcomeNotRun)
	for _, n := range []uint64{20, 30} {
		_, err = e.Admit(attemptOf("i", n, 1), at(time.Minute)) // room again
		wantKind(t, err, errkind.OperationNotRun, domain.RunNo)
	}
	admit(t, e, attemptOf("i", 31, 1), at(time.Minute))
	admit(t, e, attemptOf("j", 1, 1), at(time.Minute))
	_, err = e.Admit(attemptOf("k", 1, 1), at(time.Minute))
	wantKind(t, err, errkind.Overloaded, domain.RunNo)
}

package operations

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const (
	tick          = time.Second
	maxCandidates = 4 // number of latest elements of a slice that steps choose from
)

// operationModel holds the expected state of one operation.
type operationModel struct {
	id             domain.OperationID
	run            *Run // nil after a restart of its issuing process
	executions     int
	reportedNotRun bool
	reportedRan    bool
}

type executeMessage struct {
	op      *operationModel
	attempt Attempt
}

type reply struct {
	to  executeMessage
	run domain.Run
}

type admittedAttempt struct {
	executor  *Executor
	admission *Admission
	msg       executeMessage
}

// interleaving runs one issuer and two executors over a network that loses (never
// picks), delays and duplicates (picks again) messages. Processes freeze (are not
// picked for a while) and restart.
type interleaving struct {
	now         time.Time
	incarnation domain.Incarnation
	issuer      *Issuer
	executors   [2]*Executor
	operations  []*operationModel
	messages    []executeMessage
	replies     []reply
	admissions  []admittedAttempt
}

// pick draws one of the latest elements. If there are none, the action does not
// apply: t.Skip then makes rapid draw another action, and no test is skipped.
func pick[T any](t *rapid.T, from []T, label string) T {
	if len(from) == 0 {
		t.Skip("nothing to pick")
	}
	from = from[max(0, len(from)-maxCandidates):]
	return from[rapid.IntRange(0, len(from)-1).Draw(t, label)]
}

func (w *interleaving) restartIssuer(t *rapid.T) {
	w.incarnation++
	i, err := NewIssuer("i", w.incarnation, w.now, IssuerConfig{
		Shards: 1, FirstUse: 2 * tick, MaxRun: 2 * tick, Retention: 5 * tick,
		MaxRecords: 3, MaxAnswerBytes: 1 << 10, MaxTotalBytes: 2 << 10,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.issuer = i
	for _, op := range w.operations {
		op.run = nil
	}
}

func (w *interleaving) restartExecutor(t *rapid.T, n int) {
	w.incarnation++
	self := ExecutorRef{domain.NodeID([]string{"a", "b"}[n]), w.incarnation}
	e, err := NewExecutor(self, ExecutorConfig{Shards: 1, Retention: 3 * tick, MaxRecords: 2, MaxIssuers: 3})
	if err != nil {
		t.Fatal(err)
	}
	w.executors[n] = e
}

func (w *interleaving) recordVerdict(op *operationModel, run domain.Run) {
	op.reportedNotRun = op.reportedNotRun || run == domain.RunNo
	op.reportedRan = op.reportedRan || run == domain.RunYes
}

func (w *interleaving) issue(*rapid.T) {
	w.operations = append(w.operations, &operationModel{id: w.issuer.Issue(customer, w.now)})
}

// request simulates a first use or a repeat through any entry node. Its time may be
// older than the latest one.
func (w *interleaving) request(t *rapid.T) {
	op := pick(t, w.operations, "operation")
	lag := time.Duration(rapid.IntRange(0, 4).Draw(t, "ticks behind")) * tick
	b, err := w.issuer.Begin(op.id, customer, 1, w.now.Add(-lag))
	if err != nil {
		w.recordVerdict(op, errkind.From(err).Verdict())
	} else if b.Run != nil {
		op.run = b.Run
	}
}

func (w *interleaving) status(t *rapid.T) {
	op := pick(t, w.operations, "operation")
	if s, err := w.issuer.Status(op.id, customer, w.now); err == nil {
		w.recordVerdict(op, s.Run)
	}
}

func (w *interleaving) dispatch(t *rapid.T) {
	op := pick(t, w.operations, "operation")
	if op.run == nil {
		t.Skip("not started") // the action does not apply, so rapid draws another one
	}
	to := pick(t, w.executors[:], "executor")
	number, err := op.run.Dispatch(to.self, w.now)
	if err != nil {
		return
	}
	p, _ := ParseID(op.id)
	w.messages = append(w.messages, executeMessage{op, Attempt{op.id, p.Node, p.Incarnation, to.self, number}})
}

func (w *interleaving) deliverMessage(t *rapid.T) {
	m := pick(t, w.messages, "message")
	e := pick(t, w.executors[:], "executor")
	admission, err := e.Admit(m.attempt, w.now)
	if err != nil {
		w.replies = append(w.replies, reply{m, errkind.From(err).Verdict()})
		return
	}
	w.admissions = append(w.admissions, admittedAttempt{e, admission, m})
}

func (w *interleaving) pickLive(t *rapid.T) admittedAttempt {
	a := pick(t, w.admissions, "admission")
	if a.executor != w.executors[0] && a.executor != w.executors[1] {
		t.Skip("the executor was restarted") // the action does not apply, so rapid draws another one
	}
	return a
}

func (w *interleaving) execute(t *rapid.T) {
	a := w.pickLive(t)
	if a.admission.Dispatch() == nil {
		a.msg.op.executions++
	}
}

func (w *interleaving) endAttempt(t *rapid.T) {
	a := w.pickLive(t)
	switch {
	case a.admission.EndNotRun(w.now) == nil:
		w.replies = append(w.replies, reply{a.msg, domain.RunNo})
	case a.admission.dispatched:
		a.admission.EndRan(w.now)
		w.replies = append(w.replies, reply{a.msg, domain.RunYes})
	}
}

func (w *interleaving) inquire(t *rapid.T) {
	m := pick(t, w.messages, "message")
	outcome, err := pick(t, w.executors[:], "executor").Inquire(m.attempt, w.now)
	switch {
	case err != nil || outcome == OutcomeRunning:
	case outcome == OutcomeNotRun:
		w.replies = append(w.replies, reply{m, domain.RunNo})
	case outcome == OutcomeRan:
		w.replies = append(w.replies, reply{m, domain.RunYes})
	default:
		w.replies = append(w.replies, reply{m, domain.RunUnknown})
	}
}

// deliverReply delivers a reply to the attempt that it belongs to, if the attempt is still
// pending.
func (w *interleaving) deliverReply(t *rapid.T) {
	r := pick(t, w.replies, "reply")
	run := r.to.op.run
	if run == nil {
		return
	}
	to, number := run.Executor()
	if to != r.to.attempt.Executor || number != r.to.attempt.Number || run.State() != Dispatched {
		return
	}
	switch r.run {
	case domain.RunNo:
		_ = run.MarkRefused()
	case domain.RunYes:
		_ = run.WriteHead(answer.Head{Status: 200})
		_ = run.Complete(w.now)
	default:
		_ = run.EndUnknown(nil, w.now)
	}
}

func (w *interleaving) abandonRun(t *rapid.T) {
	op := pick(t, w.operations, "operation")
	if op.run != nil {
		op.run.Close(w.now)
	}
}

func (w *interleaving) check(t *rapid.T) {
	for _, op := range w.operations {
		if op.executions > 1 {
			t.Fatalf("%s ran %d times", op.id, op.executions)
		}
		if op.reportedNotRun && op.executions > 0 {
			t.Fatalf("%s was reported as not run, but ran", op.id)
		}
		if op.reportedRan && op.executions == 0 {
			t.Fatalf("%s was reported as run, but did not run", op.id)
		}
	}
}

// TestInterleavings checks that an operation runs at most once, and that reported
// verdicts are true, over random interleavings of message loss, delay and
// duplication, process freezes and restarts.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &interleaving{now: origin}
		w.restartIssuer(t)
		w.restartExecutor(t, 0)
		w.restartExecutor(t, 1)
		t.Repeat(map[string]func(*rapid.T){
			"issue":     w.issue,
			"request":   w.request,
			"status":    w.status,
			"dispatch":  w.dispatch,
			"dispatch2": w.dispatch,
			"arrive":    w.deliverMessage,
			"arrive2":   w.deliverMessage,
			"execute":   w.execute,
			"end":       w.endAttempt,
			"inquire":   w.inquire,
			"answer":    w.deliverReply,
			"give up":   w.abandonRun,
			"time":      func(*rapid.T) { w.now = w.now.Add(tick) },
			"restart":   w.restartRandom,
			"expire":    func(*rapid.T) { w.issuer.Expire(w.now); w.executors[0].Expire(w.now); w.executors[1].Expire(w.now) },
			"":          w.check,
		})
	})
}

// restartRandom restarts a random process in some of its calls.
func (w *interleaving) restartRandom(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "process") {
	case 0:
		w.restartIssuer(t)
	case 1:
		w.restartExecutor(t, 0)
	case 2:
		w.restartExecutor(t, 1)
	}
}

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
	tick   = time.Second
	latest = 4 // things of each sort that steps choose from
)

// operationModel is what the world knows of one operation.
type operationModel struct {
	id           domain.OperationID
	run          *Run // nil once its issuing process is gone
	executions   int
	calledNotRun bool
	calledRan    bool
}

type executeMessage struct {
	op      *operationModel
	attempt Attempt
}

type reply struct {
	to  executeMessage
	run domain.Run
}

type admitted struct {
	by  *Executor
	adm *Admission
	msg executeMessage
}

// interleaving runs one issuer and two executors over a network that loses
// (never picks), delays and duplicates (picks again) messages, while processes
// freeze (are not picked) and restart.
type interleaving struct {
	now         time.Time
	incarnation domain.Incarnation
	issuer      *Issuer
	executors   [2]*Executor
	operations  []*operationModel
	messages    []executeMessage
	replies     []reply
	admissions  []admitted
}

// pick chooses one of the latest things. Without any the action does not apply:
// rapid then draws another one, and no test is skipped.
func pick[T any](t *rapid.T, from []T, label string) T {
	if len(from) == 0 {
		t.Skip("nothing to pick")
	}
	from = from[max(0, len(from)-latest):]
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

func (w *interleaving) hear(op *operationModel, run domain.Run) {
	op.calledNotRun = op.calledNotRun || run == domain.RunNo
	op.calledRan = op.calledRan || run == domain.RunYes
}

func (w *interleaving) issue(*rapid.T) {
	w.operations = append(w.operations, &operationModel{id: w.issuer.Issue(customer, w.now)})
}

// request is a first use or a repeat through any entry, with a time that may be
// older than the latest one.
func (w *interleaving) request(t *rapid.T) {
	op := pick(t, w.operations, "operation")
	behind := time.Duration(rapid.IntRange(0, 4).Draw(t, "ticks behind")) * tick
	b, err := w.issuer.Begin(op.id, customer, 1, w.now.Add(-behind))
	if err != nil {
		w.hear(op, errkind.From(err).Verdict())
	} else if b.Run != nil {
		op.run = b.Run
	}
}

func (w *interleaving) status(t *rapid.T) {
	op := pick(t, w.operations, "operation")
	if s, err := w.issuer.Status(op.id, customer, w.now); err == nil {
		w.hear(op, s.Run)
	}
}

func (w *interleaving) dispatch(t *rapid.T) {
	op := pick(t, w.operations, "operation")
	if op.run == nil {
		t.Skip("not started") // the action does not apply; rapid draws another
	}
	to := pick(t, w.executors[:], "executor")
	number, err := op.run.Dispatch(to.self, w.now)
	if err != nil {
		return
	}
	p, _ := ParseID(op.id)
	w.messages = append(w.messages, executeMessage{op, Attempt{op.id, p.Node, p.Incarnation, to.self, number}})
}

func (w *interleaving) arrive(t *rapid.T) {
	m := pick(t, w.messages, "message")
	e := pick(t, w.executors[:], "executor")
	adm, err := e.Admit(m.attempt, w.now)
	if err != nil {
		w.replies = append(w.replies, reply{m, errkind.From(err).Verdict()})
		return
	}
	w.admissions = append(w.admissions, admitted{e, adm, m})
}

func (w *interleaving) living(t *rapid.T) admitted {
	a := pick(t, w.admissions, "admission")
	if a.by != w.executors[0] && a.by != w.executors[1] {
		t.Skip("the executor is gone") // as above
	}
	return a
}

func (w *interleaving) execute(t *rapid.T) {
	a := w.living(t)
	if a.adm.Dispatch() == nil {
		a.msg.op.executions++
	}
}

func (w *interleaving) endAttempt(t *rapid.T) {
	a := w.living(t)
	switch {
	case a.adm.NotRun(w.now) == nil:
		w.replies = append(w.replies, reply{a.msg, domain.RunNo})
	case a.adm.dispatched:
		a.adm.Ran(w.now)
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

// answer delivers a reply to the call that waits for it, if it still does.
func (w *interleaving) answer(t *rapid.T) {
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
		_ = run.Refused()
	case domain.RunYes:
		_ = run.WriteHead(answer.Head{Status: 200})
		_ = run.Complete(w.now)
	default:
		_ = run.Lost(nil, w.now)
	}
}

func (w *interleaving) giveUp(t *rapid.T) {
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
		if op.calledNotRun && op.executions > 0 {
			t.Fatalf("%s was called not run, but ran", op.id)
		}
		if op.calledRan && op.executions == 0 {
			t.Fatalf("%s was called run, but did not", op.id)
		}
	}
}

// TestInterleavings counts executions at the upstream over random interleavings
// of loss, delay, duplication, freezes and restarts.
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
			"arrive":    w.arrive,
			"arrive2":   w.arrive,
			"execute":   w.execute,
			"end":       w.endAttempt,
			"inquire":   w.inquire,
			"answer":    w.answer,
			"give up":   w.giveUp,
			"time":      func(*rapid.T) { w.now = w.now.Add(tick) },
			"restart":   w.restartSome,
			"expire":    func(*rapid.T) { w.issuer.Expire(w.now); w.executors[0].Expire(w.now); w.executors[1].Expire(w.now) },
			"":          w.check,
		})
	})
}

// restartSome restarts a process now and then.
func (w *interleaving) restartSome(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "process") {
	case 0:
		w.restartIssuer(t)
	case 1:
		w.restartExecutor(t, 0)
	case 2:
		w.restartExecutor(t, 1)
	}
}

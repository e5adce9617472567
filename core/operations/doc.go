// Package operations runs calls that may not be repeated at most once, and says
// "not run" only when that stays true. It is pure logic: times are passed in,
// messages and the key-value service are behind interfaces.
//
// # Issuer
//
// An operation id names the process that issued it. Only that process may start
// the operation, in memory, once: Issuer.Begin returns a Run to the first and a
// Record to every repeat, whose readers see the first run's answer. A repeat at
// another entry is sent to the issuer (ParseID). If the issuing process is gone,
// the outcome is unknown, and the operation never runs again.
//
// An unused id takes no memory. It may be started for FirstUse after its issue,
// by the issuer's own monotonic clock, and is burned after that. A finished
// operation is remembered for Retention, which is longer. So an id without a
// record
//   - may start, if it is at most FirstUse old;
//   - never ran, if it is older than FirstUse and younger than Retention;
//   - is unknown otherwise, as its record may have been forgotten.
//
// Each shard judges ages by the latest time it has seen, so a goroutine that was
// held up with an older time cannot start an id that was called burned.
//
// A ledger without room burns: it raises a mark below which unused ids never
// start, which takes no memory. The burned ids are truly "not run".
//
// # Attempts
//
// A Run moves along the table of transitions (spec/operations.transitions). It
// may be dispatched again only after Run.Refused: a typed refusal with verdict
// "no", or the proof that nothing was delivered. Nothing else, no time-out and
// no lapse, leads back from Dispatched.
//
// # Executor
//
// The node that calls the upstream for an issuer elsewhere admits each attempt
// once. Refusing after admission, or saying "not run" to an inquiry, leaves a
// tombstone, so a copy of the message that arrives later is refused.
//
// Why forgetting is safe there: the sequence numbers of one issuing process only
// grow, and when a record is forgotten its number becomes the process's mark. A
// number at or below the mark that has no record is never admitted and answered
// "unknown". No clock has to agree with another; the retention decides only how
// many late first uses are refused needlessly, none if it is at least FirstUse
// plus MaxRun. The marks of issuing processes are never forgotten; when
// MaxIssuers is reached, further processes are refused.
//
// # Why nothing runs twice
//
// Two dispatches of one operation to an upstream would need one of these:
//   - Two Runs: only one process can start it, under the shard's lock, and its
//     record outlives FirstUse, after which nothing starts.
//   - A second attempt while the first may run: the first was refused for good.
//     The tombstone or the mark keeps its late copies from being admitted.
//   - Two admissions of one attempt: the record or the mark refuses the second.
//     A restarted executor has another incarnation and refuses the message.
//   - An executor frozen between admission and dispatch: while it is frozen the
//     attempt counts as running. It answers no inquiry, so the issuer waits or
//     ends with "unknown"; neither leads to another attempt. Thawed, it
//     dispatches late, but alone. An inquiry answered by it says "running".
//   - A frozen issuer: the ids and attempts are its own; nobody takes them over.
//
// # Caller-made keys
//
// Claims binds a key to an operation id by one create-only compare-and-swap. The
// operation then follows the rules above, so the claim decides only which id is
// used, never whether it runs. A claim lasts at least for its stated lifetime,
// which covers FirstUse, MaxRun and Retention; a key may be reused for a new
// operation only after it. While the key-value service is away, requests with
// keys are refused as not run; that speaks of the request, and an earlier one
// with the same key keeps its own outcome.
//
// # Use by a gateway
//
//	// Operations is what a gateway needs of the issuer's side.
//	type Operations interface {
//		Issue(customer domain.CustomerID, now time.Time) domain.OperationID
//		Begin(id domain.OperationID, customer domain.CustomerID, fingerprint uint64, now time.Time) (operations.Began, error)
//		Status(id domain.OperationID, customer domain.CustomerID, now time.Time) (operations.Status, error)
//	}
//	// Keys is what it needs for Idempotency-Key.
//	type Keys interface {
//		Claim(ctx context.Context, customer domain.CustomerID, key string, fingerprint uint64) (operations.Claim, error)
//		TakeOver(ctx context.Context, customer domain.CustomerID, key string, burned operations.Claim) (operations.Claim, error)
//	}
//	// Executions is what a dispatcher needs.
//	type Executions interface {
//		Admit(a operations.Attempt, now time.Time) (*operations.Admission, error)
//		Inquire(a operations.Attempt, now time.Time) (operations.Outcome, error)
//	}
//
// The first caller's goroutine takes Run.Reader, starts a goroutine that owns
// the Run, and copies the reader to the caller, as a repeat does with
// Record.Reader. The owner is not canceled with the caller:
//
//	defer run.Close(now())
//	for each executor chosen {
//		attempt, err := run.Dispatch(executor, now())
//		stream, err := send(executor, attempt)
//		if verdict(err) is "no" { run.Refused(); continue }
//		if err is anything else { ask Inquire: "not_run" -> run.Refused(); "ran" -> run.Ran(now()); else run.Lost(err, now()) }
//		answer.Copy(run, stream), then run.Complete(now()) or run.Lost(err, now())
//		return
//	}
//	run.NotRun(lastRefusal, now())
package operations

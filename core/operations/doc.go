// Package operations executes non-repeatable calls at most once and reports
// "not run" only if the call can never run later. It has no I/O of its own: times
// are passed in, messages and the key-value service are behind interfaces.
//
// # Issuer
//
// An operation id contains the process that issued it. Only that process may start
// the operation, once, based on its in-memory records: Issuer.Begin returns a Run
// to the first call and a Record to every repeat, whose readers get the answer of
// that run. A repeat at another entry node is forwarded to the issuer (see
// ParseID). If the issuing process no longer exists, the outcome is unknown and
// the operation never runs again.
//
// An unused id uses no memory. It may be started within FirstUse after its issue,
// by the issuer's own monotonic clock, and is invalid afterwards. A finished
// operation is retained for Retention, which is longer than FirstUse. Therefore
// an id without a record
//   - may start, if its age is at most FirstUse;
//   - never ran, if its age is above FirstUse and below Retention;
//   - has an unknown outcome otherwise, because its record may have been evicted.
//
// Each shard computes ages from the latest time it has seen, so a delayed goroutine
// with an older time cannot start an id that was already reported as not run.
//
// If a shard has no room for another record, it invalidates ids instead: it raises
// the sequence number up to which unused ids never start, which uses no memory.
// These ids are guaranteed not to run.
//
// # Attempts
//
// A Run follows the transition table in spec/operations.transitions. It may be
// dispatched again only after Run.MarkRefused: a typed refusal with verdict "no", or
// proof that nothing was delivered. No other event, such as a timeout or an
// expiry, leads back from Dispatched.
//
// # Executor
//
// The node that calls the upstream on behalf of an issuer on another node admits
// each attempt once. Refusing an attempt after admission, or answering an inquiry
// with "not run", leaves a tombstone, so a duplicate of the message that arrives
// later is refused.
//
// Evicting these records is safe: the sequence numbers of one issuing process only
// increase, and when a record is evicted its number becomes the process's low-water
// mark. A number at or below the mark that has no record is never admitted, and its
// outcome is reported as "unknown". No two clocks have to agree; the retention only
// determines how many late first uses are refused unnecessarily, which is none if
// it is at least FirstUse plus MaxRun. The marks of issuing processes are never
// evicted; when MaxIssuers is reached, further processes are refused.
//
// # Why an operation cannot run twice
//
// Two dispatches of one operation to an upstream would require one of these:
//   - Two Runs: only one process can start the operation, under the shard's lock,
//     and its record outlives FirstUse, after which the id cannot start.
//   - A second attempt while the first may run: the first was refused permanently.
//     The tombstone or the mark prevents its late duplicates from being admitted.
//   - Two admissions of one attempt: the record or the mark refuses the second.
//     A restarted executor has another incarnation and refuses the message.
//   - An executor frozen between admission and dispatch: the attempt counts as
//     running meanwhile. The executor answers no inquiry, so the issuer waits or
//     ends with "unknown"; neither leads to another attempt. After it resumes, it
//     dispatches late, but no other attempt exists, and it answers an inquiry with
//     "running".
//   - A frozen issuer: no other process takes over its ids and attempts.
//
// # Caller-supplied keys
//
// Claims maps an idempotency key to an operation id with one create-only
// compare-and-swap. The operation then follows the rules above, so the claim only
// determines which id is used, never whether it runs. A claim lasts at least for
// its configured lifetime, which covers FirstUse, MaxRun and Retention; the key may
// be reused for a new operation only afterwards. While the key-value service is
// unavailable, requests with keys are refused as not run; this applies only to the
// refused request, and the outcome of an earlier request with the same key is
// unaffected.
//
// # Use by a gateway
//
//	// Operations is the issuer interface that a gateway uses.
//	type Operations interface {
//		Issue(customer domain.CustomerID, now time.Time) domain.OperationID
//		Begin(id domain.OperationID, customer domain.CustomerID, fingerprint uint64, now time.Time) (operations.BeginResult, error)
//		Status(id domain.OperationID, customer domain.CustomerID, now time.Time) (operations.Status, error)
//	}
//	// Keys is the interface that it uses for Idempotency-Key.
//	type Keys interface {
//		Claim(ctx context.Context, customer domain.CustomerID, key string, fingerprint uint64) (operations.Claim, error)
//		Rebind(ctx context.Context, customer domain.CustomerID, key string, notRun operations.Claim) (operations.Claim, error)
//	}
//	// Executions is the executor interface that a dispatcher uses.
//	type Executions interface {
//		Admit(a operations.Attempt, now time.Time) (*operations.Admission, error)
//		Inquire(a operations.Attempt, now time.Time) (operations.Outcome, error)
//	}
//
// The initial caller's goroutine calls Run.Reader, starts a goroutine that owns the
// Run, and copies the reader to the caller, as a repeat does with Record.Reader. The
// owner is not canceled with the caller:
//
//	defer run.Close(now())
//	for each executor chosen {
//		attempt, err := run.Dispatch(executor, now())
//		stream, err := send(executor, attempt)
//		if verdict(err) is "no" { run.MarkRefused(); continue }
//		if err is anything else { call Inquire: "not_run" -> run.MarkRefused(); "ran" -> run.EndRan(now()); else run.EndUnknown(err, now()) }
//		answer.Copy(run, stream), then run.Complete(now()) or run.EndUnknown(err, now())
//		return
//	}
//	run.EndNotRun(lastRefusal, now())
package operations

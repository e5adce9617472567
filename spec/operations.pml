/*
 * At-most-once execution, with "not run" replies and tombstones.
 *
 * The model has one operation, the process that issued it, and two executors that
 * may call the upstream. A message that was sent stays in the network, so it may be
 * lost (never delivered), delayed or delivered more than once. A frozen process
 * needs no state of its own: it takes no step between any two steps of the others.
 * The states are those of core/operations, which calls a burned id invalidated; the
 * transitions of the issuer are the rows of operations.transitions.
 *
 * Properties, asserted wherever a step could violate them:
 *   at_most_once      the upstream runs the operation at most once;
 *   not_run_is_true   an operation reported as "not run" has not run and never
 *                     will;
 *   run_is_true       an operation reported as "run" has run.
 *
 * -DONE_COPY models a network that delivers a message at most once, as a stream on
 * one connection does. A restarted executor may then reply "not run" to a message
 * addressed to its earlier incarnation. Where duplicates are possible, it must not
 * (NO_GUARD_SUCCESSOR).
 *
 * -DNO_GUARD_x removes one guard; a property must then fail. -DWITNESS asserts that
 * no operation completes at its last attempt, which must fail as well: this shows
 * that the properties do not hold merely because no operation runs.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define EXECUTORS 2
#define RESTARTS 1 /* maximum per executor */

/* Age ranges of the operation id, by the issuer's clock. */
#define FRESH 0    /* at most FirstUse */
#define BURNED 1   /* above FirstUse, below Retention: no record can have been evicted */
#define RETAINED 2 /* at least Retention */

mtype:state = { issued, started, dispatched, done, not_run, unknown };
mtype:outcome = { none, running, ran, tombstone, lost };
mtype:holder = { free, admitted, sent, ended };

byte executions;
bool calledNotRun, calledRun;

/* The issuer. */
mtype:state state = issued;
bool issuerGone;
bool record;     /* the issuer has a record of the operation */
bool burnedMark; /* the issuer had no room for a record and invalidated the id */
byte age;        /* actual age of the id */
byte clock;      /* highest age that the issuer has seen */
byte attempt;    /* number of the latest attempt */

/* Indexed by attempt: the addressee of its message and the replies about it. Index 0
 * is unused. */
byte to[ATTEMPTS + 1];
byte incarnationMeant[ATTEMPTS + 1];
bool saidNotRun[ATTEMPTS + 1], saidRan[ATTEMPTS + 1], saidUnknown[ATTEMPTS + 1];
mtype:holder holder[ATTEMPTS + 1] = free;

/* The executors. */
byte incarnation[EXECUTORS];
mtype:outcome outcome[EXECUTORS] = none; /* of the latest attempt at this executor */
byte latest[EXECUTORS];
bool forgotten[EXECUTORS]; /* set once a record was evicted */

#ifdef ONE_COPY
bool arrived[ATTEMPTS + 1];
#endif

#define MOVE(from, event, to) state == from -> state = to

inline check() {
	assert(executions <= 1);                   /* at_most_once */
	assert(!(calledNotRun && executions > 0)); /* not_run_is_true */
	assert(!(calledRun && executions == 0))    /* run_is_true */
}

inline hearNotRun() { calledNotRun = true; check() }
#ifndef WITNESS
inline hearRun() { calledRun = true; check() }
#else
inline hearRun() { calledRun = true; assert(attempt < ATTEMPTS) }
#endif

/* Sets t to the age used for a request: the caller's time may be outdated, so it is
 * raised to the highest age seen. */
inline judge(t) {
	t = 0;
	do
	:: t < age -> t++
	:: break
	od;
#ifndef NO_GUARD_CLOCK
	if
	:: t < clock -> t = clock
	:: else
	fi;
#endif
	if
	:: t > clock -> clock = t
	:: else
	fi
}

inline repeat() {
	if
	:: state == not_run -> hearNotRun()
	:: state == done -> hearRun()
	:: else
	fi
}

/* UNUSABLE: an id without a record can no longer start. REFUSED: Begin reports the id
 * as not run. EXPIRED: the record may have been evicted, so the outcome is unknown. */
#define UNUSABLE(t) (t != FRESH || burnedMark)
#ifndef NO_GUARD_FIRST_USE
#define REFUSED(t) UNUSABLE(t)
#else
#define REFUSED(t) burnedMark /* Begin ignores the age */
#endif
#ifndef NO_GUARD_RETENTION
#define EXPIRED(t) (t == RETAINED)
#else
#define EXPIRED(t) false
#endif

/* First calls, repeats received through other entry nodes, and delayed duplicates of
 * both. */
active proctype Begin() {
	byte t;
end:	do
	:: atomic { !issuerGone ->
		judge(t);
		if
		:: record -> repeat()
		:: !record && EXPIRED(t) /* unknown */
		:: !record && !EXPIRED(t) && REFUSED(t) -> hearNotRun()
		:: !record && !EXPIRED(t) && !REFUSED(t) ->
			if
			:: MOVE(issued, start, started); record = true
			:: burnedMark = true; hearNotRun() /* overloaded */
			fi
		fi;
		t = 0 }
	od
}

active proctype Status() {
	byte t;
end:	do
	:: atomic { !issuerGone ->
		judge(t);
		if
		:: record -> repeat()
		:: !record && EXPIRED(t) /* unknown */
		:: !record && !EXPIRED(t) && UNUSABLE(t) -> hearNotRun()
		:: !record && !EXPIRED(t) && !UNUSABLE(t) ->
#ifndef NO_GUARD_BURN
			if
			:: MOVE(issued, burn, not_run); record = true
			:: burnedMark = true
			fi;
#endif
			hearNotRun()
		fi;
		t = 0 }
	od
}

active proctype Time() {
end:	do
	:: age < RETAINED -> age++
	od
}

/* The goroutine that holds the Run. */
active proctype Run() {
	byte e, n;
end:	do
	:: atomic { !issuerGone && record && attempt < ATTEMPTS && state == started ->
		MOVE(started, dispatch, dispatched);
		attempt++;
		select(e : 0 .. EXECUTORS - 1);
		to[attempt] = e;
		/* The issuer may not know the executor's current incarnation. */
		select(n : 0 .. incarnation[e]);
		incarnationMeant[attempt] = n;
		e = 0; n = 0 }
	:: atomic { !issuerGone && record && state == dispatched ->
		if
#ifdef NO_GUARD_RETRY
		:: MOVE(dispatched, refuse, started)
#endif
#ifdef NO_GUARD_REPLY
		:: attempt > 1 && saidNotRun[attempt - 1] -> MOVE(dispatched, refuse, started)
#endif
		:: saidNotRun[attempt] -> MOVE(dispatched, refuse, started)
		:: saidRan[attempt] -> MOVE(dispatched, complete, done); hearRun()
		:: saidUnknown[attempt] -> MOVE(dispatched, lose, unknown)
		:: MOVE(dispatched, lose, unknown) /* the reply is lost and the issuer times out */
		fi }
	:: atomic { !issuerGone && record && state == started ->
		MOVE(started, burn, not_run); hearNotRun() }
	:: atomic { record && clock == RETAINED && (state == done || state == not_run || state == unknown) ->
		record = false;
		state = issued } /* evicted: the id looks unused */
	:: atomic { !issuerGone ->
#ifndef NO_GUARD_ISSUER
		issuerGone = true
#else
		/* The next process accepts ids that it did not issue. */
		record = false; state = issued; clock = age; burnedMark = false
#endif
	}
	od
}

#ifndef NO_GUARD_INCARNATION
#define MEANT(e, n) (to[n] == e && incarnationMeant[n] == incarnation[e])
#else
#define MEANT(e, n) (to[n] == e)
#endif

inline admit(e, n) {
	outcome[e] = running;
	latest[e] = n;
	holder[n] = admitted
}

inline arrive(e, n) {
	if
#if !defined(ONE_COPY) && !defined(NO_GUARD_SUCCESSOR)
	:: !MEANT(e, n) -> saidUnknown[n] = true
#else
	:: !MEANT(e, n) -> saidNotRun[n] = true /* assumes that it was never received */
#endif
	:: MEANT(e, n) && outcome[e] == none ->
		if
		:: forgotten[e] -> saidUnknown[n] = true
		:: !forgotten[e] -> admit(e, n)
#ifdef NO_GUARD_REFUSAL
		:: saidNotRun[n] = true /* refused before admission: leaves no tombstone */
#endif
		fi
	:: MEANT(e, n) && outcome[e] == tombstone ->
		if
#ifndef NO_GUARD_ATTEMPT
		:: n > latest[e] -> admit(e, n)
		:: n <= latest[e] -> saidNotRun[n] = true
#else
		:: admit(e, n)
#endif
		fi
	:: MEANT(e, n) && outcome[e] != none && outcome[e] != tombstone ->
#ifndef NO_GUARD_ADMIT_ONCE
		if
		:: n < latest[e] -> saidNotRun[n] = true
		:: else -> saidUnknown[n] = true
		fi
#else
		admit(e, n)
#endif
	fi
}

inline bury(e, n) {
	outcome[e] = tombstone;
	if
	:: n > latest[e] -> latest[e] = n
	:: else
	fi
}

inline inquire(e, n) {
	if
	:: !MEANT(e, n) /* the inquiry is rejected and yields no outcome */
	:: MEANT(e, n) && n < latest[e] -> saidNotRun[n] = true
	:: MEANT(e, n) && n >= latest[e] ->
		if
		:: outcome[e] == none && forgotten[e] -> saidUnknown[n] = true
		:: outcome[e] == none && !forgotten[e] ->
#ifndef NO_GUARD_TOMBSTONE
			bury(e, n);
#endif
			saidNotRun[n] = true
		:: outcome[e] == tombstone -> bury(e, n); saidNotRun[n] = true
		:: outcome[e] == running
		:: outcome[e] == ran -> saidRan[n] = true
		:: outcome[e] == lost -> saidUnknown[n] = true
		fi
	fi
}

/* A step of the goroutine that holds the admission of attempt n. */
inline hold(e, n) {
	if
	:: holder[n] == admitted && outcome[e] == running && latest[e] == n ->
		if
		:: executions++; holder[n] = sent; check()
		:: holder[n] = ended; bury(e, n); saidNotRun[n] = true /* typed refusal */
		fi
	:: holder[n] == sent && outcome[e] == running && latest[e] == n ->
		if
		:: holder[n] = ended; outcome[e] = ran; saidRan[n] = true
		:: holder[n] = ended; outcome[e] = lost; saidUnknown[n] = true
#ifdef NO_GUARD_DISPATCHED
		:: holder[n] = ended; bury(e, n); saidNotRun[n] = true
#endif
		fi
#ifdef NO_GUARD_HOLDER
	/* The deferred Close of an ended attempt closes a later attempt. */
	:: holder[n] == ended && outcome[e] == running && latest[e] > n -> outcome[e] = tombstone
#endif
	:: else
	fi
}

inline restart(e) {
	incarnation[e]++;
	outcome[e] = none;
	latest[e] = 0;
	forgotten[e] = false;
	n = 1;
	do
	:: n <= ATTEMPTS ->
		if
		:: to[n] == e && holder[n] != free -> holder[n] = ended
		:: else
		fi;
		n++
	:: else -> break
	od
}

active [EXECUTORS] proctype Executor() {
	byte e = _pid - 4; /* Begin, Status, Time and Run have process ids 0 to 3 */
	byte n;
end:	do
	:: atomic { attempt > 0 ->
		select(n : 1 .. attempt);
		if
		:: to[n] == e ->
			if
#ifndef ONE_COPY
			:: arrive(e, n)
#else
			:: !arrived[n] -> arrived[n] = true; arrive(e, n)
#endif
			:: inquire(e, n)
			:: hold(e, n)
			fi
		:: else
		fi;
		n = 0 }
	:: atomic { outcome[e] == ran || outcome[e] == tombstone || outcome[e] == lost ->
		outcome[e] = none;
		latest[e] = 0;
#ifndef NO_GUARD_MARK
		forgotten[e] = true
#endif
	}
	:: atomic { incarnation[e] < RESTARTS -> restart(e); n = 0 }
	od
}

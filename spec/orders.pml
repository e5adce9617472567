/*
 * At most one orderer per failure domain, under a lease that may expire.
 *
 * The life cycle of each holder follows orders.transitions.
 *
 * The first holder wants every engine in state FIRST. The second, which acquires
 * the lease after it has expired or been released, wants state SECOND. Engine 0
 * rejects an outdated fencing number, engine 1 ignores the number. A message arrives
 * within SEND_DEADLINE or never. A holder may be frozen between its check of the
 * clock and its send: for at most FREEZE ticks, or until the end with -DLONG_FREEZE.
 * Time is in ticks.
 *
 * Properties:
 *   fenced          on an engine that checks fencing numbers, no order of an
 *                   earlier holder takes effect after one of a later holder,
 *                   however long a freeze lasts;
 *   one_orderer     the same on an engine that ignores the number, if a freeze
 *                   lasts at most FREEZE;
 *   wanted_in_end   once no message or step is pending, every engine has the state
 *                   that the latest holder wants, however long a freeze lasts.
 *
 * -DNO_GUARD_x removes one guard; a property must then fail. -DWITNESS asserts that
 * the second holder never sends an order, which must fail as well.
 */

#define ENGINES 2
#define CHECKING 0 /* the engine that checks fencing numbers */
#define LEASE 4
#define SEND_DEADLINE 1
#define FREEZE (LEASE + SEND_DEADLINE) /* one_orderer fails with one tick more */
#define END 14   /* last tick */
#define FIRST 1
#define SECOND 2

/* Life-cycle states of a holder. The transitions are the rows of orders.transitions,
 * which the code follows. */
#define candidate 0
#define waiting 1
#define ordering 2
#define MOVE(holder, from, event, to) life[holder] == from -> life[holder] = to

byte life[2] = { ordering, candidate }; /* state of the first and of the second holder */
bool released;        /* the first holder released its lease */

byte now;
byte grantedAt;       /* tick at which the second holder acquired the lease */
bool secondHolds;
byte runs[ENGINES];   /* state of each engine: 0, FIRST or SECOND */
byte fencing[ENGINES]; /* highest fencing number that each engine has seen */

/* Pending orders of the first holder. */
bool looked[ENGINES];  /* the check found enough of the lease left */
byte lookedAt[ENGINES];
bool inFlight[ENGINES];
byte sentAt[ENGINES];

inline take(e, number) {
	if
#ifndef NO_GUARD_FENCING
	:: e == CHECKING && number < fencing[e] /* rejected */
	:: e != CHECKING || number >= fencing[e] ->
#else
	:: true ->
#endif
#ifndef LONG_FREEZE
		assert(number >= fencing[e]);                  /* one_orderer */
#else
		assert(e != CHECKING || number >= fencing[e]); /* fenced */
#endif
		runs[e] = number;
		if
		:: number > fencing[e] -> fencing[e] = number
		:: else
		fi
	fi
}

/* The lease must still be valid at the latest time at which the order can arrive. */
#ifndef NO_GUARD_SAFE_PART
#define SAFE (now + SEND_DEADLINE < LEASE)
#else
#define SAFE true /* the holder has not learned of the expiry yet */
#endif

#ifndef LONG_FREEZE
#define THAWED(e) (!looked[e] || now < lookedAt[e] + FREEZE)
#else
#define THAWED(e) true
#endif

#ifndef NO_GUARD_DEADLINE
#define ARRIVED(e) (!inFlight[e] || now < sentAt[e] + SEND_DEADLINE)
#else
#define ARRIVED(e) true
#endif

active proctype Time() {
end:	do
	:: atomic { now < END && THAWED(0) && THAWED(1) && ARRIVED(0) && ARRIVED(1) -> now++ }
	od
}

/* Orders are sent one at a time, and none is pending when the lease is released. */
#define IDLE (!looked[0] && !looked[1] && !inFlight[0] && !inFlight[1])

active [ENGINES] proctype FirstHolder() {
	byte e = _pid - 1;
end:	do
	:: atomic { life[0] == ordering && !looked[e] && !inFlight[e] && now < END && SAFE ->
		looked[e] = true;
		lookedAt[e] = now }
	/* The holder may be frozen between the check and the send. */
	:: atomic { looked[e] ->
		looked[e] = false;
		inFlight[e] = true;
		sentAt[e] = now }
	:: atomic { looked[e] -> looked[e] = false } /* the process stops before sending */
	:: atomic { e == 0 && now >= LEASE && MOVE(0, ordering, lose, candidate) }
	:: atomic { e == 0 && IDLE && MOVE(0, ordering, release, candidate); released = true }
	od
}

active [ENGINES] proctype Network() {
	byte e = _pid - 1 - ENGINES;
end:	do
	:: atomic { inFlight[e] -> inFlight[e] = false; take(e, FIRST) }
	:: atomic { inFlight[e] -> inFlight[e] = false } /* lost */
	od
}

/* A new holder waits for one lease duration plus one send deadline before its first
 * order. */
#ifndef NO_GUARD_WAIT
#define WAITED (now >= grantedAt + LEASE + SEND_DEADLINE)
#else
#define WAITED true
#endif

active proctype SecondHolder() {
	bool sent[ENGINES];
	byte e;
end:	do
	:: atomic { (released || now >= LEASE) && now + LEASE + SEND_DEADLINE <= END && MOVE(1, candidate, take, waiting);
		secondHolds = true;
		grantedAt = now }
	:: atomic { WAITED && MOVE(1, waiting, wait_out, ordering) }
	:: atomic { MOVE(1, waiting, lose, candidate); secondHolds = false }
	:: atomic { MOVE(1, waiting, release, candidate); secondHolds = false }
	:: atomic { life[1] == ordering && runs[0] != SECOND && !sent[0] -> sent[0] = true; e = 0; goto order }
	:: atomic { life[1] == ordering && runs[1] != SECOND && !sent[1] -> sent[1] = true; e = 1; goto order }
	od;
order:
	atomic {
#ifdef WITNESS
		assert(false);
#endif
		take(e, SECOND);
#ifndef NO_GUARD_RECONCILE
		sent[e] = false; /* reconcile: check the engine again and repeat the order if needed */
#endif
		e = 0
	}
	goto end
}

/* Runs when no other process has an executable step. */
active proctype Quiet() {
	timeout -> assert(!secondHolds || (runs[0] == SECOND && runs[1] == SECOND)) /* wanted_in_end */
}

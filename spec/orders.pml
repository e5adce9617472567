/*
 * One orderer per failure domain under a lease that may lapse.
 *
 * The lives of the holders are those of orders.transitions.
 *
 * The first holder wants every engine in state FIRST, the second, which gets the
 * lease when it has lapsed, in state SECOND. Engine 0 refuses an old fencing
 * number, engine 1 ignores it. A message arrives within SEND_DEADLINE or never.
 * A holder may be frozen between its look at the clock and its send: for at most
 * FREEZE ticks, or with -DLONG_FREEZE until the end. Time is in ticks.
 *
 * Properties:
 *   fenced          on an engine that checks, no order of an earlier holder
 *                   takes effect after one of a later holder, freeze or not;
 *   one_orderer     the same on an engine that ignores the number, if a freeze
 *                   is at most FREEZE;
 *   wanted_in_end   when nothing is under way, every engine has the state that
 *                   the latest holder wants, freeze or not.
 *
 * -DNO_GUARD_x takes one guard away; a property must then fail. -DWITNESS claims
 * that the second holder never sends, which must fail as well.
 */

#define ENGINES 2
#define CHECKING 0 /* the engine that checks fencing numbers */
#define LEASE 4
#define SEND_DEADLINE 1
#define FREEZE (LEASE + SEND_DEADLINE) /* one tick more breaks one_orderer */
#define END 14   /* last tick */
#define FIRST 1
#define SECOND 2

/* The life of a holder; orders.transitions has these rows, which the code
 * follows. */
#define candidate 0
#define waiting 1
#define ordering 2
#define MOVE(holder, from, event, to) life[holder] == from -> life[holder] = to

byte life[2] = { ordering, candidate }; /* of the first and the second holder */
bool released;        /* the first holder gave its lease up */

byte now;
byte grantedAt;       /* of the second holder's lease */
bool secondHolds;
byte runs[ENGINES];   /* state of each engine: 0, FIRST or SECOND */
byte fencing[ENGINES]; /* highest number seen */

/* Orders of the first holder under way. */
bool looked[ENGINES];  /* it saw enough of its lease left */
byte lookedAt[ENGINES];
bool inFlight[ENGINES];
byte sentAt[ENGINES];

inline take(e, number) {
	if
#ifndef NO_GUARD_FENCING
	:: e == CHECKING && number < fencing[e] /* refused */
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

/* Some part of the lease must be left when the order arrives at the latest. */
#ifndef NO_GUARD_SAFE_PART
#define SAFE (now + SEND_DEADLINE < LEASE)
#else
#define SAFE true /* it has not heard of the lapse yet */
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

/* Orders are given one after the other, and none is under way at a release. */
#define IDLE (!looked[0] && !looked[1] && !inFlight[0] && !inFlight[1])

active [ENGINES] proctype FirstHolder() {
	byte e = _pid - 1;
end:	do
	:: atomic { life[0] == ordering && !looked[e] && !inFlight[e] && now < END && SAFE ->
		looked[e] = true;
		lookedAt[e] = now }
	/* Anything may happen to it in between. */
	:: atomic { looked[e] ->
		looked[e] = false;
		inFlight[e] = true;
		sentAt[e] = now }
	:: atomic { looked[e] -> looked[e] = false } /* stopped */
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

/* A new holder waits out a lease and a send deadline before its first order. */
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
		sent[e] = false; /* looks again, and orders again if it must */
#endif
		e = 0
	}
	goto end
}

/* Runs when nothing else can. */
active proctype Quiet() {
	timeout -> assert(!secondHolds || (runs[0] == SECOND && runs[1] == SECOND)) /* wanted_in_end */
}

/*
 * No request runs with a key that was removed longer than a bound ago.
 *
 * The routing table has version 1 with a key and version 2 without it. Node 0 reads
 * the store. Node 1 exchanges messages with node 0. Calls, answers and messages may
 * be in transit, and nodes may be frozen, for any time: any process may wait while the
 * clock advances. With -DERA there is no node 1, and the store may come back from a
 * copy without version 2; the operator then writes that again within HOLD. The code is core/currency and
 * adapters/edgenode (currency.go, watcher.go, accounts.go).
 *
 * Property, asserted when a node honours the key:
 *   revoked_in_time  the request was sent less than BOUND after the store had
 *                    acknowledged version 2.
 *
 * -DNO_GUARD_x removes one guard; the property must then fail. -DWITNESS asserts that
 * no node honours the key after its removal, which must fail as well.
 */

#define BOUND 2
#define HOLD 1
#define TIME 4

byte now; /* CLOCK_BOOTTIME */

/* The store. */
byte version = 1;
byte era;
bool removed, lost;
byte removedAt, restoredAt;

/* The nodes. A proof states that the table in force has all changes up to a time. */
byte inForce[2] = 1;
short proofAt[2];

/* The monotonic clocks stand still while the machine is suspended. */
byte mono[2];

#ifdef NO_GUARD_BOOTTIME
#define CLOCK(n) mono[n]
#else
#define CLOCK(n) now
#endif

active proctype Clock() {
end:	do
	:: atomic { now < TIME && !(lost && now + 1 > restoredAt + HOLD) ->
		now++;
#ifdef NO_GUARD_BOOTTIME
		if
		:: mono[0]++
		:: skip
		fi;
		if
		:: mono[1]++
		:: skip
		fi
#endif
	}
	od
}

active proctype Operator() {
	/* Removes the key; the store acknowledges it. */
	atomic { now <= 1 -> version = 2; removed = true; removedAt = now }
#ifdef ERA
	;
	atomic { version = 1; era = 1; lost = true; restoredAt = now };
	atomic { version = 2; lost = false }
#endif
}

inline prove(n, at) {
	if
	:: at > proofAt[n] -> proofAt[n] = at
	:: else
	fi
}

/* Node 0 reads the store. */
active proctype Reader() {
	byte sentAt, read, readEra, knownEra, since;
	bool holding;
end:	do
	:: atomic { sentAt = CLOCK(0) };
		/* The store answers. */
		atomic { read = version; readEra = era };
		/* The answer arrives. */
#ifdef NO_GUARD_SENT
		atomic { sentAt = CLOCK(0) };
#endif
#ifndef NO_GUARD_APPLIED
		atomic { if :: read > inForce[0] -> inForce[0] = read :: else fi };
#endif
		atomic {
#ifndef NO_GUARD_ERA_HOLD
			if
			:: readEra == knownEra -> prove(0, sentAt)
			/* The call may have been sent before the store came back, the answer
			 * arrives afterwards. */
#ifndef NO_GUARD_ERA_ARRIVAL
			:: readEra != knownEra && !holding -> holding = true; since = CLOCK(0)
#else
			:: readEra != knownEra && !holding -> holding = true; since = sentAt
#endif
			/* The operator has written again before this call was sent. */
			:: readEra != knownEra && holding && sentAt > since + HOLD -> knownEra = readEra; prove(0, sentAt)
			:: else
			fi
#else
			prove(0, sentAt)
#endif
		};
#ifdef NO_GUARD_APPLIED
		atomic { if :: read > inForce[0] -> inForce[0] = read :: else fi };
#endif
		atomic { read = 0; sentAt = 0; readEra = 0 }
	od
}

/* Node 0 composes a message: its version and the age of its proof. */
inline compose(v, age) {
#ifndef NO_GUARD_PROOF_FIRST
	atomic { age = CLOCK(0) - proofAt[0] };
	atomic { v = inForce[0] }
#else
	atomic { v = inForce[0] };
	atomic { age = CLOCK(0) - proofAt[0] }
#endif
}

#ifndef ERA
/* Node 1 begins exchanges with node 0, and adopts a later version. */
active proctype Exchange() {
	byte sentAt, v;
	short age;
end:	do
	:: atomic { sentAt = CLOCK(1) };
		compose(v, age);
		/* The reply arrives. */
		atomic {
			if
#ifndef NO_GUARD_VERSION
			:: v == inForce[1] ->
#else
			:: true ->
#endif
#ifndef NO_GUARD_AGE
				prove(1, sentAt - age)
#else
				prove(1, sentAt)
#endif
			:: else
			fi
		};
		if
		:: atomic { v > inForce[1] -> inForce[1] = v }
		:: skip
		fi;
		atomic { sentAt = 0; v = 0; age = 0 }
	od
}

#endif

#ifdef NO_GUARD_REPLY
/* A message that node 0 sends of its own accord arrives at node 1. */
active proctype Message() {
	byte v;
	short age;
	compose(v, age);
	atomic {
		if
		:: v == inForce[1] -> prove(1, CLOCK(1) - age)
		:: else
		fi
	}
}
#endif

/* A client sends a request with the key to either node, when none may run any more. The
 * node reads its proof, its table and its clock. */
active proctype Client() {
	byte n, table, at;
	short proof;
#ifndef ERA
	if
	:: n = 0
	:: n = 1
	fi;
#endif
#ifdef NO_GUARD_CLOCK_AFTER_HEAD
	atomic { at = CLOCK(n) };
#endif
#ifdef WITNESS
	atomic { removed };
#else
	atomic { removed && now >= removedAt + BOUND };
#endif
#ifdef NO_GUARD_TABLE_AFTER_PROOF
	atomic { table = inForce[n] };
	atomic { proof = proofAt[n] };
#else
	atomic { proof = proofAt[n] };
	atomic { table = inForce[n] };
#endif
#ifndef NO_GUARD_CLOCK_AFTER_HEAD
	atomic { at = CLOCK(n) };
#endif
	assert(!( /* revoked_in_time */
#ifndef NO_GUARD_BOUND
		at - proof < BOUND &&
#endif
		table == 1))
}

/*
 * The version of the lists in force never decreases.
 *
 * Two operators write concurrently with compare-and-swap. The reply to a write
 * may be lost, and the write may reach the service after its operator has timed
 * out. Two nodes of a failure domain read the service, which may return an older
 * version, fetch the lists from each other, and may restart. The code is
 * core/lists and core/adoption.
 *
 * Properties, asserted wherever a step could violate them:
 *   in_force_never_reverts  the version that a process has in force never
 *                           decreases;
 *   restart_never_reverts   a process that starts serving is not behind any
 *                           serving node of its failure domain;
 *   accepted_stays          a change reported to its operator as accepted is
 *                           contained in every later version;
 *   applied_once            no change is applied twice;
 *   refused_is_absent       a change reported to its operator as a conflict is
 *                           contained in no version.
 *
 * -DNO_GUARD_x removes one guard; a property must then fail. -DWITNESS asserts
 * that no node ever has both changes in force, which must fail as well.
 */

#define OPERATORS 2
#define NODES 2
#ifndef VERSIONS
#define VERSIONS 3 /* maximum number of writes that the service accepts */
#endif
#define RESTARTS 2 /* maximum per node */

mtype:operator = { reading, writing, waiting, readback, accepted, conflict };

/* The service. trail[v] is the set of operators whose change is contained in
 * version v, one bit for each operator. */
byte version;
byte trail[VERSIONS + 2];
byte times[OPERATORS]; /* number of times that each operator's change was applied */

/* Writes in transit, one per operator: each arrives at most once, at any time. */
bool inFlight[OPERATORS];
byte based[OPERATORS];
bool answered[OPERATORS], won[OPERATORS];
bool told[OPERATORS], lost[OPERATORS];

/* The nodes. */
byte inForce[NODES];
byte served[NODES]; /* highest version that the process has had in force */
bool serving[NODES];
byte restarts[NODES];

#define BIT(o) (1 << o)

inline checkTrail() {
	assert(times[0] <= 1 && times[1] <= 1);                       /* applied_once */
	assert(!told[0] || (trail[version] & BIT(0)));                /* accepted_stays */
	assert(!told[1] || (trail[version] & BIT(1)));
	assert(!lost[0] || !(trail[version] & BIT(0)));               /* refused_is_absent */
	assert(!lost[1] || !(trail[version] & BIT(1)))
}

/* The service applies the write of operator w if the version has not changed since
 * the operator read it. */
inline compareAndSwap(w) {
	inFlight[w] = false;
	answered[w] = true;
	if
#ifndef NO_GUARD_SWAP
	:: based[w] != version -> won[w] = false
	:: based[w] == version && version < VERSIONS ->
#else
	:: version < VERSIONS ->
#endif
		version++;
		trail[version] = trail[based[w]] | BIT(w);
		times[w]++;
		won[w] = true
	:: else -> won[w] = false
	fi;
	checkTrail()
}

active proctype Service() {
end:	do
	:: atomic { inFlight[0] -> compareAndSwap(0) }
	:: atomic { inFlight[1] -> compareAndSwap(1) }
	od
}

active [OPERATORS] proctype Operator() {
	byte o = _pid - 1;
	mtype:operator state = reading;
end:	do
	:: atomic { state == reading ->
		based[o] = version;
		state = writing }
	:: atomic { state == writing ->
		inFlight[o] = true;
		answered[o] = false;
		state = waiting }
	:: atomic { state == waiting && answered[o] ->
		if
		:: won[o] -> state = accepted; told[o] = true
		:: !won[o] -> state = conflict; lost[o] = true
		fi;
		checkTrail() }
	/* The reply is lost; the write may still be in transit. */
	:: atomic { state == waiting -> state = readback }
	:: atomic { state == readback ->
#ifndef NO_GUARD_READ_BACK
		if
		:: trail[version] & BIT(o) -> state = accepted; told[o] = true
#ifndef NO_GUARD_LATE_WRITE
		/* Only a later version proves that the write can no longer succeed. */
		:: !(trail[version] & BIT(o)) && version != based[o] -> state = conflict; lost[o] = true
#else
		:: !(trail[version] & BIT(o)) -> state = conflict; lost[o] = true
#endif
		:: else /* unknown: read again */
		fi;
		checkTrail() }
#else
		/* Retries on the current version without checking whether it already
		 * contains the change. */
		if
		:: !inFlight[o] -> state = reading
		:: else
		fi }
#endif
	od
}

inline adopt(n, v) {
	if
#ifndef NO_GUARD_HIGHER
	:: v > inForce[n] -> inForce[n] = v
#else
	:: v != inForce[n] -> inForce[n] = v
#endif
	:: else
	fi;
	assert(inForce[n] >= served[n]); /* in_force_never_reverts */
	served[n] = inForce[n]
#ifdef WITNESS
	; assert(trail[inForce[n]] != (BIT(0) | BIT(1)))
#endif
}

active [NODES] proctype Node() {
	byte n = _pid - 1 - OPERATORS;
	byte read;
end:	do
	/* Reads or watches the service, which may return an older version. */
	:: atomic { serving[n] ->
		select(read : 0 .. version);
		adopt(n, read);
		read = 0 }
	/* Fetches the lists from a peer. */
	:: atomic { serving[n] && serving[1 - n] -> adopt(n, inForce[1 - n]) }
	:: atomic { serving[n] && restarts[n] < RESTARTS ->
		restarts[n]++;
		serving[n] = false;
		inForce[n] = 0;
		served[n] = 0 }
	/* At start, reads the service and every serving peer of the failure domain,
	 * and adopts the highest version. */
	:: atomic { !serving[n] ->
		select(read : 0 .. version);
		adopt(n, read);
#ifndef NO_GUARD_PEERS
		if
		:: serving[1 - n] -> adopt(n, inForce[1 - n])
		:: else
		fi;
#endif
		assert(!serving[1 - n] || inForce[n] >= inForce[1 - n]); /* restart_never_reverts */
		serving[n] = true;
		read = 0 }
	od
}

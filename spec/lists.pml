/*
 * The version of the lists in force never reverts.
 *
 * Two operators race with compare-and-swap; the answer to a write may be lost,
 * and the write may arrive after its answer was given up. Two nodes of a failure
 * domain read the service, which may answer with an older value, and pull from
 * each other; they may restart. Names equal those of core/lists.
 *
 * Properties, asserted wherever one of them could break:
 *   in_force_never_reverts  what a process has in force only grows;
 *   restart_never_reverts   a process that starts to serve is not behind a node
 *                           of its domain that serves;
 *   accepted_stays          a change that its operator was told is accepted is
 *                           in the trail of every later version;
 *   applied_once            no change is in the trail twice;
 *   refused_is_absent       a change that its operator was told lost is in no
 *                           version.
 *
 * -DNO_GUARD_x takes one guard away; a property must then fail. -DWITNESS claims
 * that no node has both changes in force, which must fail as well.
 */

#define OPERATORS 2
#define NODES 2
#ifndef VERSIONS
#define VERSIONS 3 /* writes that the service takes */
#endif
#define RESTARTS 2 /* of each node */

mtype:operator = { reading, writing, waiting, readback, accepted, conflict };

/* The service: trail[v] is a bit for each operator's change in version v. */
byte version;
byte trail[VERSIONS + 2];
byte times[OPERATORS]; /* how often a change took effect */

/* A write in the network: it may arrive once, at any time. */
bool inFlight[OPERATORS];
byte based[OPERATORS];
bool answered[OPERATORS], won[OPERATORS];
bool told[OPERATORS], lost[OPERATORS];

/* The nodes. */
byte inForce[NODES];
byte served[NODES]; /* highest version this process had in force */
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

/* The service takes the write of operator w if nothing came in between. */
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
	/* The answer is lost; the write may still be on its way. */
	:: atomic { state == waiting -> state = readback }
	:: atomic { state == readback ->
#ifndef NO_GUARD_READ_BACK
		if
		:: trail[version] & BIT(o) -> state = accepted; told[o] = true
#ifndef NO_GUARD_LATE_WRITE
		/* Only a later version proves that the write can no longer win. */
		:: !(trail[version] & BIT(o)) && version != based[o] -> state = conflict; lost[o] = true
#else
		:: !(trail[version] & BIT(o)) -> state = conflict; lost[o] = true
#endif
		:: else /* unknown: asks again */
		fi;
		checkTrail() }
#else
		/* Writes again on what is there now, without looking for its change. */
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
	/* Reads or watches the service; the value may be an older one. */
	:: atomic { serving[n] ->
		select(read : 0 .. version);
		adopt(n, read);
		read = 0 }
	/* Pulls from a peer. */
	:: atomic { serving[n] && serving[1 - n] -> adopt(n, inForce[1 - n]) }
	:: atomic { serving[n] && restarts[n] < RESTARTS ->
		restarts[n]++;
		serving[n] = false;
		inForce[n] = 0;
		served[n] = 0 }
	/* Asks the service and every peer of its domain, and takes the highest. */
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

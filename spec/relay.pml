/*
 * A request of a routing table's route runs at most once, and a refusal that
 * promises "not run" is true.
 *
 * A node sends a request to upstreams of its region or to one node of another
 * region, which sends it to upstreams there. Requests and answers may be lost,
 * and a request may arrive after its sender gave up on it. Names equal those of
 * core/relay.
 *
 * Properties, asserted wherever one of them could break:
 *   at_most_once  the request runs once at most (not with -DREPEATABLE);
 *   promise_kept  once a caller was told "not run", it has not run and never will;
 *   one_hop       a node that was sent the request never passes it on;
 *   ran_here      an answer that is delivered comes from a run.
 *
 * -DNO_GUARD_x takes one guard away; a property must then fail. -DREPEATABLE is a
 * route whose requests may run again. -DWITNESS claims that no answer comes from
 * the other region, which must fail as well.
 */

#define ATTEMPTS 2 /* sends by each node */
#define FLIGHTS 8  /* requests on the way to upstreams: each send may be doubled */

mtype:flight = { unused, travelling, ran, rejected, gone };
mtype:verdict = { open, no, unknown, delivered };

mtype:flight flight[FLIGHTS];
byte sends; /* flights used */
byte runs;
bool promised;
byte hops;

/* The request as the other region's node has it. */
bool relayed, broken; /* broken: the hop is lost, no verdict arrives */
mtype:verdict there = open;

inline check() {
#ifndef REPEATABLE
	assert(runs <= 1);             /* at_most_once */
#endif
	assert(!promised || runs == 0) /* promise_kept */
}

inline fly(f) {
	f = sends;
	sends++;
	flight[f] = travelling
}

/* What became of flight f, as its sender sees it. */
inline outcome(f, res) {
	if
	:: flight[f] == ran -> res = delivered
	:: flight[f] == rejected -> res = no
	/* The answer, or the request, is lost or takes too long. */
	:: res = unknown
	fi;
#ifdef NO_GUARD_OWN_CONNECTION
	/* A transport that sends again on another connection. */
	if
	:: res == unknown && sends < FLIGHTS -> fly(f); res = open
	:: else
	fi
#endif
}

/* One attempt at an upstream; a connection that does not come about is known not
 * to have carried the request. */
inline attempt(f, res) {
	atomic {
		if
		:: res = no
		:: fly(f); res = open
		fi }
	/* Upstreams may act here. */
	do
	:: atomic { res == open -> outcome(f, res) }
	:: res != open -> break
	od
}

/* Decides if another attempt follows. */
inline mayRepeat(res, maybeRan, again) {
	if
	:: res == unknown -> maybeRan = true
	:: else
	fi;
#if defined(REPEATABLE) || defined(NO_GUARD_MAYBE_RAN)
	again = (res != delivered)
#else
	again = (res != delivered && !maybeRan)
#endif
}

active proctype Upstreams() {
	byte i;
end:	do
	:: atomic { i < FLIGHTS && flight[i] == travelling ->
		if
		:: flight[i] = ran; runs++; check()
		:: flight[i] = rejected
		:: flight[i] = gone
		fi;
		i = 0 }
	/* Looks at another one; what travels may arrive as late as it likes. */
	:: atomic { i < FLIGHTS -> i++ }
	:: atomic { i >= FLIGHTS -> i = 0 }
	od
}

active proctype Other() {
	byte tries, f;
	bool maybeRan, again = true;
	mtype:verdict res = open;
	(relayed);
	do
	:: atomic { again && tries < ATTEMPTS ->
		tries++;
#ifdef NO_GUARD_ONE_HOP
		if
		:: hops++
		:: skip
		fi;
#endif
		assert(hops <= 1) } /* one_hop */
	   attempt(f, res);
	   atomic { mayRepeat(res, maybeRan, again) }
	:: !again || tries == ATTEMPTS -> break
	od;
	atomic {
		if
		:: res == no && maybeRan -> res = unknown
		:: else
		fi;
		there = res }
}

active proctype Entry() {
	byte tries, f;
	bool maybeRan, again = true;
	mtype:verdict res = open;
	do
	:: atomic { again && tries < ATTEMPTS -> tries++ }
	   attempt(f, res);
	   atomic { mayRepeat(res, maybeRan, again) }
	:: atomic { again && tries < ATTEMPTS && !relayed ->
		tries++;
		relayed = true;
		hops++ }
	   if
	   :: atomic { there != open -> res = there }
	   /* The connection to the other node is lost. */
	   :: atomic { broken = true;
#ifndef NO_GUARD_LOST_HOP
		res = unknown }
#else
		res = no }
#endif
	   fi;
#ifdef WITNESS
	   assert(res != delivered);
#endif
	   atomic { mayRepeat(res, maybeRan, again) }
	:: !again || tries == ATTEMPTS -> break
	od;
	atomic {
		assert(res != delivered || runs > 0); /* ran_here */
#ifndef NO_GUARD_EARLIER_ATTEMPT
		promised = (res == no && !maybeRan);
#else
		promised = (res == no);
#endif
		check() }
}

/*
 * A request on a route of the routing table runs at most once, and a refusal that
 * reports "not run" is true.
 *
 * A node sends a request to upstreams of its region, or to one node of another
 * region, which sends it to upstreams there. Requests and answers may be lost, and
 * a request may arrive after its sender has timed out. The code is core/relay:
 * mayRepeat and maybeRan here are mayRetry and mayHaveRun there.
 *
 * Properties, asserted wherever a step could violate them:
 *   at_most_once  the request runs at most once (not with -DREPEATABLE);
 *   promise_kept  a request reported to the caller as "not run" has not run and
 *                 never will;
 *   one_hop       a node that received the request from another node never forwards
 *                 it;
 *   ran_here      an answer that is delivered results from a run.
 *
 * -DNO_GUARD_x removes one guard; a property must then fail. -DREPEATABLE models a
 * route whose requests may run more than once. -DWITNESS asserts that no answer
 * comes from the other region, which must fail as well.
 */

#define ATTEMPTS 2 /* maximum sends by each node */
#define FLIGHTS 8  /* maximum requests in transit: each send may be duplicated */

mtype:flight = { unused, travelling, ran, rejected, gone };
mtype:verdict = { open, no, unknown, delivered };

mtype:flight flight[FLIGHTS];
byte sends; /* number of flights used */
byte runs;
bool promised;
byte hops;

/* State of the request at the node of the other region. */
bool relayed, broken; /* broken: the connection is lost, no verdict arrives */
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

/* Sets res to the outcome of flight f as observed by its sender. */
inline outcome(f, res) {
	if
	:: flight[f] == ran -> res = delivered
	:: flight[f] == rejected -> res = no
	/* The request or the answer is lost, or the sender times out. */
	:: res = unknown
	fi;
#ifdef NO_GUARD_OWN_CONNECTION
	/* The transport resends the request on another connection. */
	if
	:: res == unknown && sends < FLIGHTS -> fly(f); res = open
	:: else
	fi
#endif
}

/* One attempt at an upstream. If the connection cannot be established, the request is
 * known not to have been sent. */
inline attempt(f, res) {
	atomic {
		if
		:: res = no
		:: fly(f); res = open
		fi }
	/* Steps of upstreams may interleave here. */
	do
	:: atomic { res == open -> outcome(f, res) }
	:: res != open -> break
	od
}

/* Decides whether another attempt is allowed. */
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
	/* Selects another flight; a request in transit may be delayed without limit. */
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
	   /* The connection to the other region's node is lost. */
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

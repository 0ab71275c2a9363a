/*
 * Lease on one key: 2 candidates, SEATS grantors. README.md explains the
 * names; package lease uses the same ones. Every time is a countdown in ticks.
 */
#ifndef SEATS
#define SEATS 3
#endif
#define CANDIDATES 2

#define TERM   3 /* a promise runs this long on the grantor's clock */
#define DRIFT  1 /* a clock errs by at most this much during one TERM */
#define MARGIN 2 /* covers the drift of two clocks */

#ifdef NO_MARGIN
#define COUNTED TERM
#else
#define COUNTED (TERM - MARGIN)
#endif
#define LONGEST (COUNTED + DRIFT) /* real length of a lease on a slow clock */
#ifdef COUNT_FROM_RECEIPT
#define LATEST TERM /* age from which messages are dropped */
#else
#define LATEST LONGEST
#endif

#ifdef NO_ABSTAIN
#define ABSTAIN 0
#else
#define ABSTAIN (TERM + MARGIN - DRIFT) /* real length on a fast clock */
#endif

/* Weighted majority: the first of an even number of seats has two votes. */
#if (SEATS % 2 == 0) && !defined(NO_SECOND_VOTE)
#define FIRST_VOTES 2
#else
#define FIRST_VOTES 1
#endif
#define TOTAL  (SEATS - 1 + FIRST_VOTES)
#define QUORUM ((TOTAL + 1) / 2)

#define AT(c, g) ((c) * SEATS + (g))

#define NONE    0
#define ASKED   1
#define REPLIED 2

/* grantor */
byte promised[SEATS]; /* candidate + 1; 0 means nobody */
byte runs[SEATS];     /* ticks until the promise ends */
byte quiet[SEATS];    /* ticks until a new process grants */

/* candidate */
byte message[CANDIDATES * SEATS]; /* of the round under way */
byte age[CANDIDATES];             /* ticks since the ask */
byte grant[CANDIDATES * SEATS];   /* ticks until the grant ends, as counted */
byte due[CANDIDATES];             /* ticks until checked work must end */
bool uses[CANDIDATES];            /* the target runs cold work */

/* scratch inside of one d_step; no part of the state */
hidden byte c, g, ends, votes, until, x;
hidden int low, high;

/* until = end of the lease of me: the latest t at which a quorum still runs */
inline lease_end(me) {
	ends = LONGEST;
	until = 0;
	do
	:: until > 0 || ends == 0 -> break
	:: else ->
		votes = 0;
		g = 0;
		do
		:: g == SEATS -> break
		:: else ->
			if
			:: grant[AT(me, g)] >= ends -> votes = votes + (g == 0 -> FIRST_VOTES : 1)
			:: else
			fi;
			g++
		od;
		if
		:: votes >= QUORUM -> until = ends
		:: else
		fi;
		ends--
	od
}

#define SWAP(p, q) x = p; p = q; q = x

#define KEY(i) (((((((promised[i] * 8 + runs[i]) * 8 + quiet[i]) * 4 \
	+ message[AT(0, i)]) * 4 + message[AT(1, i)]) * 8 \
	+ grant[AT(0, i)]) * 8) + grant[AT(1, i)])

inline order(i, j) {
	low = KEY(i);
	high = KEY(j);
	if
	:: low > high ->
		SWAP(promised[i], promised[j]);
		SWAP(runs[i], runs[j]);
		SWAP(quiet[i], quiet[j]);
		SWAP(message[AT(0, i)], message[AT(0, j)]);
		SWAP(message[AT(1, i)], message[AT(1, j)]);
		SWAP(grant[AT(0, i)], grant[AT(0, j)]);
		SWAP(grant[AT(1, i)], grant[AT(1, j)])
	:: else
	fi
}

/* The other candidate; nobody stays nobody. */
#define OTHER(who) (who == 0 -> 0 : 3 - who)

/* a weight of the state of candidate me that does not depend on the order of
   the grantors */
#define LOAD(me) (((uses[me] * 8 + due[me]) * 8 + age[me]) * 256)

inline weigh(me, sum) {
	sum = LOAD(me);
	g = 0;
	do
	:: g == SEATS -> break
	:: else ->
		sum = sum + message[AT(me, g)] + 4 * grant[AT(me, g)] + (promised[g] == me + 1 -> 32 * runs[g] : 0);
		g++
	od
}

/* Puts the two candidates in order. */
inline order_candidates() {
	weigh(0, low);
	weigh(1, high);
	if
	:: low > high ->
		SWAP(age[0], age[1]);
		SWAP(due[0], due[1]);
		SWAP(uses[0], uses[1]);
		g = 0;
		do
		:: g == SEATS -> break
		:: else ->
			promised[g] = OTHER(promised[g]);
			SWAP(message[AT(0, g)], message[AT(1, g)]);
			SWAP(grant[AT(0, g)], grant[AT(1, g)]);
			g++
		od
	:: else
	fi
}

/* Puts the grantors of equal weight in order. */
inline order_grantors() {
#if SEATS == 3
	order(0, 1);
	order(1, 2);
	order(0, 1);
#endif
#if SEATS == 4
	order(1, 2);
	order(2, 3);
	order(1, 2);
#endif
	skip
}

/* Resets what no longer matters, and picks one of the symmetric states. */
inline settle() {
	c = 0;
	do
	:: c == CANDIDATES -> break
	:: else ->
		g = 0;
		votes = 0;
		do
		:: g == SEATS -> break
		:: else ->
			votes = votes + message[AT(c, g)];
			g++
		od;
		if
		:: votes == 0 -> age[c] = 0
		:: else
		fi;
		c++
	od;
	order_candidates();
	order_grantors()
}

inline ask(me) {
	age[me] = 0;
	g = 0;
	do
	:: g == SEATS -> break
	:: else ->
		message[AT(me, g)] = ASKED;
		g++
	od
}

/* length is the real length of the promise */
inline answer(me, seat, length) {
	if
	:: quiet[seat] == 0 && (promised[seat] == 0 || promised[seat] == me + 1) ->
		promised[seat] = me + 1;
		runs[seat] = length;
		message[AT(me, seat)] = REPLIED
	:: else ->
		message[AT(me, seat)] = NONE
	fi
}

/* length is the real length for which the grant counts from the ask on */
inline take(me, seat, length) {
	message[AT(me, seat)] = NONE;
#ifdef COUNT_FROM_RECEIPT
	until = length;
#else
	until = (length > age[me] -> length - age[me] : 0);
#endif
	if
	:: until > grant[AT(me, seat)] -> grant[AT(me, seat)] = until
	:: else
	fi
}

/* Work that is checked now must end at the lease end. It may start later. */
inline check(me) {
	lease_end(me);
	if
	:: until > 0 -> due[me] = until
	:: else
	fi
}

inline restart(seat) {
	promised[seat] = 0;
	runs[seat] = 0;
	quiet[seat] = ABSTAIN
}

inline less(count) {
	if
	:: count > 0 -> count = count - 1
	:: else
	fi
}

inline tick_grantor() {
	less(quiet[g]);
	less(runs[g]);
	if
	:: runs[g] == 0 -> promised[g] = 0
	:: else
	fi
}

inline tick_candidate() {
	age[c] = age[c] + 1;
	g = 0;
	do
	:: g == SEATS -> break
	:: else ->
		less(grant[AT(c, g)]);
		if
		:: age[c] >= LATEST -> message[AT(c, g)] = NONE
		:: else
		fi;
		g++
	od;
	less(due[c]);
	if
#ifndef WORK_PAST_END
	:: due[c] == 0 -> uses[c] = false
#endif
	:: else
	fi
}

inline tick() {
	g = 0;
	do
	:: g == SEATS -> break
	:: else ->
		tick_grantor();
		g++
	od;
	c = 0;
	do
	:: c == CANDIDATES -> break
	:: else ->
		tick_candidate();
		c++
	od
}

#define PER_SEAT(me, seat) \
	:: d_step { message[AT(me, seat)] != NONE -> message[AT(me, seat)] = NONE; settle() } \
	:: d_step { message[AT(me, seat)] == ASKED -> answer(me, seat, TERM); settle() } \
	:: d_step { message[AT(me, seat)] == ASKED -> answer(me, seat, TERM - DRIFT); settle() } \
	:: d_step { message[AT(me, seat)] == REPLIED -> take(me, seat, COUNTED); settle() } \
	:: d_step { message[AT(me, seat)] == REPLIED -> take(me, seat, LONGEST); settle() }

#define PER_CANDIDATE(me) \
	:: d_step { true -> ask(me); settle() } \
	:: d_step { true -> check(me); settle() } \
	:: d_step { due[me] > 0 && !uses[me] -> uses[me] = true; settle() } \
	:: d_step { uses[me] -> uses[me] = false; due[me] = 0; settle() }

active proctype cell() {
	do
	PER_CANDIDATE(0)
	PER_CANDIDATE(1)
	PER_SEAT(0, 0)
	PER_SEAT(1, 0)
	PER_SEAT(0, 1)
	PER_SEAT(1, 1)
#if SEATS > 2
	PER_SEAT(0, 2)
	PER_SEAT(1, 2)
#endif
#if SEATS > 3
	PER_SEAT(0, 3)
	PER_SEAT(1, 3)
#endif
	:: d_step { restart(0); settle() }
	:: d_step { restart(1); settle() }
#if SEATS > 2
	:: d_step { restart(2); settle() }
#endif
#if SEATS > 3
	:: d_step { restart(3); settle() }
#endif
	:: d_step { tick(); settle() }
	:: uses[0] && uses[1] -> assert(false)
#ifdef WITNESS
	:: uses[1] -> assert(false)
#endif
	od
}

/*
 * Model of the lease on one key, with 2 candidates and SEATS grantors. README.md
 * maps the names to those of package lease. All times are countdowns in ticks.
 */
#ifndef SEATS
#define SEATS 3
#endif
#define CANDIDATES 2

#define TERM   3 /* length of a promise on the grantor's clock */
#define DRIFT  1 /* largest error of a clock during one TERM */
#define MARGIN 2 /* covers the drift of two clocks */

/* length of a grant on the candidate's clock */
#ifdef NO_MARGIN
#define COUNTED_TERM TERM
#else
#define COUNTED_TERM (TERM - MARGIN)
#endif
#define LONGEST_LEASE (COUNTED_TERM + DRIFT) /* real length of a lease if the candidate's clock is slow */
#ifdef COUNT_FROM_RECEIPT
#define MAX_AGE TERM /* age at which messages are dropped */
#else
#define MAX_AGE LONGEST_LEASE
#endif

/* time after a restart in which a grantor grants nothing */
#ifdef NO_ABSTAIN
#define ABSTAIN 0
#else
#define ABSTAIN (TERM + MARGIN - DRIFT) /* real length if the grantor's clock is fast */
#endif

/* Weighted majority: if the number of seats is even, the first seat has two votes. */
#if (SEATS % 2 == 0) && !defined(NO_SECOND_VOTE)
#define FIRST_VOTES 2
#else
#define FIRST_VOTES 1
#endif
#define TOTAL  (SEATS - 1 + FIRST_VOTES)
#define QUORUM ((TOTAL + 1) / 2)

/* index of a pair of candidate and grantor */
#define AT(c, g) ((c) * SEATS + (g))

/* message between a candidate and a grantor */
#define NONE    0
#define ASKED   1
#define REPLIED 2

/* state of the grantors */
byte promised[SEATS]; /* candidate + 1, or 0 if nothing is promised */
byte runs[SEATS];     /* ticks until the promise ends */
byte quiet[SEATS];    /* ticks until a restarted grantor grants again */

/* state of the candidates */
byte message[CANDIDATES * SEATS]; /* message of the current round */
byte age[CANDIDATES];             /* ticks since the candidate asked */
byte grant[CANDIDATES * SEATS];   /* ticks until the grant ends, as the candidate counts */
byte due[CANDIDATES];             /* ticks until work that was checked must end */
bool uses[CANDIDATES];            /* the target runs cold work of the candidate */

/* scratch variables within one d_step, not part of the state */
hidden byte c, g, end_time, votes, until, swap_temp;
hidden int key_a, key_b;

/* Sets until to the end of the lease of candidate me: the latest time at which its
   unexpired grants still form a quorum. */
inline lease_end(me) {
	end_time = LONGEST_LEASE;
	until = 0;
	do
	:: until > 0 || end_time == 0 -> break
	:: else ->
		votes = 0;
		g = 0;
		do
		:: g == SEATS -> break
		:: else ->
			if
			:: grant[AT(me, g)] >= end_time -> votes = votes + (g == 0 -> FIRST_VOTES : 1)
			:: else
			fi;
			g++
		od;
		if
		:: votes >= QUORUM -> until = end_time
		:: else
		fi;
		end_time--
	od
}

#define SWAP(p, q) swap_temp = p; p = q; q = swap_temp

/* sort key of a grantor */
#define GRANTOR_KEY(i) (((((((promised[i] * 8 + runs[i]) * 8 + quiet[i]) * 4 \
	+ message[AT(0, i)]) * 4 + message[AT(1, i)]) * 8 \
	+ grant[AT(0, i)]) * 8) + grant[AT(1, i)])

/* Swaps two grantors if they are out of order. */
inline order_pair(i, j) {
	key_a = GRANTOR_KEY(i);
	key_b = GRANTOR_KEY(j);
	if
	:: key_a > key_b ->
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

/* The other candidate; 0 stays 0. */
#define OTHER_CANDIDATE(who) (who == 0 -> 0 : 3 - who)

/* The state of a candidate apart from its grants and messages, for its sort key. */
#define CANDIDATE_STATE(me) (((uses[me] * 8 + due[me]) * 8 + age[me]) * 256)

/* Sets sum to the sort key of candidate me, which does not depend on the order of
   the grantors. */
inline candidate_key(me, sum) {
	sum = CANDIDATE_STATE(me);
	g = 0;
	do
	:: g == SEATS -> break
	:: else ->
		sum = sum + message[AT(me, g)] + 4 * grant[AT(me, g)] + (promised[g] == me + 1 -> 32 * runs[g] : 0);
		g++
	od
}

/* Sorts the two candidates. */
inline order_candidates() {
	candidate_key(0, key_a);
	candidate_key(1, key_b);
	if
	:: key_a > key_b ->
		SWAP(age[0], age[1]);
		SWAP(due[0], due[1]);
		SWAP(uses[0], uses[1]);
		g = 0;
		do
		:: g == SEATS -> break
		:: else ->
			promised[g] = OTHER_CANDIDATE(promised[g]);
			SWAP(message[AT(0, g)], message[AT(1, g)]);
			SWAP(grant[AT(0, g)], grant[AT(1, g)]);
			g++
		od
	:: else
	fi
}

/* Sorts the grantors that have the same number of votes. */
inline order_grantors() {
#if SEATS == 3
	order_pair(0, 1);
	order_pair(1, 2);
	order_pair(0, 1);
#endif
#if SEATS == 4
	order_pair(1, 2);
	order_pair(2, 3);
	order_pair(1, 2);
#endif
	skip
}

/* Merges equivalent states: resets the age of rounds without messages and sorts
   candidates and grantors. */
inline normalize() {
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

/* Starts a round: candidate me asks every grantor. */
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

/* The grantor at seat answers candidate me. length is the real length of its
   promise. */
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

/* Candidate me receives a grant. length is the real time for which the grant
   counts, from the ask on. */
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

/* Candidate me checks its lease. The work may start later, and must end when the
   lease ends. */
inline check(me) {
	lease_end(me);
	if
	:: until > 0 -> due[me] = until
	:: else
	fi
}

/* A new process at the seat has lost its promises. */
inline restart(seat) {
	promised[seat] = 0;
	runs[seat] = 0;
	quiet[seat] = ABSTAIN
}

inline decrement(count) {
	if
	:: count > 0 -> count = count - 1
	:: else
	fi
}

inline tick_grantor() {
	decrement(quiet[g]);
	decrement(runs[g]);
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
		decrement(grant[AT(c, g)]);
		if
		:: age[c] >= MAX_AGE -> message[AT(c, g)] = NONE
		:: else
		fi;
		g++
	od;
	decrement(due[c]);
	if
#ifndef WORK_PAST_END
	:: due[c] == 0 -> uses[c] = false
#endif
	:: else
	fi
}

/* Advances time by one tick. */
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

/* Steps of a message: it is lost, answered on an exact or on a fast clock, or its
   grant is received on an exact or on a slow clock. */
#define PER_SEAT(me, seat) \
	:: d_step { message[AT(me, seat)] != NONE -> message[AT(me, seat)] = NONE; normalize() } \
	:: d_step { message[AT(me, seat)] == ASKED -> answer(me, seat, TERM); normalize() } \
	:: d_step { message[AT(me, seat)] == ASKED -> answer(me, seat, TERM - DRIFT); normalize() } \
	:: d_step { message[AT(me, seat)] == REPLIED -> take(me, seat, COUNTED_TERM); normalize() } \
	:: d_step { message[AT(me, seat)] == REPLIED -> take(me, seat, LONGEST_LEASE); normalize() }

/* Steps of a candidate: ask, check, start work, end work. */
#define PER_CANDIDATE(me) \
	:: d_step { true -> ask(me); normalize() } \
	:: d_step { true -> check(me); normalize() } \
	:: d_step { due[me] > 0 && !uses[me] -> uses[me] = true; normalize() } \
	:: d_step { uses[me] -> uses[me] = false; due[me] = 0; normalize() }

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
	:: d_step { restart(0); normalize() }
	:: d_step { restart(1); normalize() }
#if SEATS > 2
	:: d_step { restart(2); normalize() }
#endif
#if SEATS > 3
	:: d_step { restart(3); normalize() }
#endif
	:: d_step { tick(); normalize() }
	:: uses[0] && uses[1] -> assert(false)
#ifdef WITNESS
	:: uses[1] -> assert(false)
#endif
	od
}

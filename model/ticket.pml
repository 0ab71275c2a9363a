/*
 * Model of one ticket of an at-most-once query. Two copies of the query travel to
 * the host that the ticket names, each directly or forwarded by another host.
 * README.md explains the names.
 */
#define COPIES 2
#define NAMED            1 /* incarnation named by the ticket */
#define LAST_INCARNATION 3 /* highest incarnation of the host */

/* position of a copy */
#define CALLER     0
#define FORWARDER  1
#define IN_TRANSIT 2 /* on its way to the named host */
#define WAITING    3 /* waits at the host for the end of the run */
#define ANSWERED   4

/* answers and ledger entries; NOTHING means no answer and no entry */
#define NOTHING 0
#define RAN     1
#define NOTRUN  2
#define UNKNOWN 3
#define RUNNING 4

byte at[COPIES];
byte answer[COPIES];
byte incarnation = NAMED;
byte ledger;
byte sent; /* requests in flight to the target */
byte runs; /* requests run by the target */

/* whether a copy was answered with outcome */
#define ANSWERED_WITH(outcome) (answer[0] == outcome || answer[1] == outcome)

/* whether the host accepts a copy */
#ifdef NO_INCARNATION_CHECK
#define ACCEPTED true
#else
#define ACCEPTED (incarnation == NAMED)
#endif

/* the ledger entry that the host finds for a copy */
#ifdef NO_LEDGER
#define LEDGER_ENTRY NOTHING
#else
#define LEDGER_ENTRY ledger
#endif

/* the ledger entry after a refusal */
#ifdef FORGET_REFUSAL
#define REFUSAL_ENTRY NOTHING
#else
#define REFUSAL_ENTRY NOTRUN
#endif

/* answer of a forwarder that cannot reach the host */
#ifdef FORWARDER_NOTRUN
#define UNREACHABLE_ANSWER NOTRUN
#else
#define UNREACHABLE_ANSWER UNKNOWN
#endif

inline give_answer(i, outcome) {
	at[i] = ANSWERED;
	answer[i] = outcome
}

inline wait_for_run(i) {
	at[i] = WAITING
}

/* A new process of the host starts with an empty ledger. Waiting copies are lost. */
inline restart() {
	incarnation++;
	ledger = NOTHING;
	if
	:: at[0] == WAITING -> give_answer(0, UNKNOWN)
	:: else
	fi;
	if
	:: at[1] == WAITING -> give_answer(1, UNKNOWN)
	:: else
	fi
}

/* Steps of a copy. It may be lost in transit or at the host; its answer is then
   unknown. */
#define PER_COPY(i) \
	:: d_step { at[i] == CALLER -> at[i] = FORWARDER } \
	:: d_step { at[i] == CALLER -> at[i] = IN_TRANSIT } \
	:: d_step { at[i] == FORWARDER -> at[i] = IN_TRANSIT } \
	:: d_step { at[i] == FORWARDER -> give_answer(i, UNREACHABLE_ANSWER) } \
	:: d_step { at[i] == IN_TRANSIT -> give_answer(i, UNKNOWN) } \
	:: d_step { at[i] == WAITING -> give_answer(i, UNKNOWN) } \
	:: d_step { at[i] == IN_TRANSIT && !ACCEPTED -> give_answer(i, UNKNOWN) } \
	:: d_step { at[i] == IN_TRANSIT && ACCEPTED && LEDGER_ENTRY == RUNNING -> wait_for_run(i) } \
	:: d_step { at[i] == IN_TRANSIT && ACCEPTED && LEDGER_ENTRY == RAN -> give_answer(i, RAN) } \
	:: d_step { at[i] == IN_TRANSIT && ACCEPTED && LEDGER_ENTRY == NOTRUN -> give_answer(i, NOTRUN) } \
	:: d_step { at[i] == IN_TRANSIT && ACCEPTED && LEDGER_ENTRY == UNKNOWN -> give_answer(i, UNKNOWN) } \
	:: d_step { at[i] == IN_TRANSIT && ACCEPTED && LEDGER_ENTRY == NOTHING -> \
		ledger = RUNNING; sent++; wait_for_run(i) } \
	:: d_step { at[i] == IN_TRANSIT && ACCEPTED && LEDGER_ENTRY == NOTHING -> \
		ledger = REFUSAL_ENTRY; give_answer(i, NOTRUN) } \
	:: d_step { at[i] == WAITING && ledger == RAN -> give_answer(i, RAN) } \
	:: d_step { at[i] == WAITING && ledger == UNKNOWN -> give_answer(i, UNKNOWN) }

active proctype ticket() {
	do
	PER_COPY(0)
	PER_COPY(1)
	/* the target runs a request, and its reply arrives or is lost */
	:: d_step { sent > 0 && ledger == RUNNING -> sent--; runs++; ledger = RAN }
	:: d_step { sent > 0 -> sent--; runs++ }
	/* a request is lost on the way to the target */
	:: d_step { sent > 0 -> sent-- }
	/* the deadline of the run passes */
	:: d_step { ledger == RUNNING -> ledger = UNKNOWN }
	:: d_step { incarnation < LAST_INCARNATION -> restart() }
	:: runs > 1 -> assert(false)
	:: ANSWERED_WITH(NOTRUN) && runs + sent > 0 -> assert(false)
	:: ANSWERED_WITH(RAN) && runs == 0 -> assert(false)
#ifdef WITNESS
	:: answer[0] == RAN && answer[1] == RAN -> assert(false)
#endif
	:: at[0] == ANSWERED && at[1] == ANSWERED && sent == 0 -> break
	od
}

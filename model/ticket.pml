/*
 * One ticket of a query that must run at most once: two copies of it cross on
 * their way to the host that the ticket names, directly or forwarded by
 * another host. README.md explains the names.
 */
#define COPIES 2
#define NAMED  1 /* incarnation that the ticket names */
#define LAST   3 /* highest incarnation of the host */

/* where a copy is */
#define CALLER    0
#define FORWARDER 1
#define UNDERWAY  2 /* to the named host */
#define JOINED    3 /* waits for the run */
#define ANSWERED  4

/* answers, and what the ledger holds; NOTHING is neither */
#define NOTHING 0
#define RAN     1
#define NOTRUN  2
#define UNKNOWN 3
#define RUNNING 4

byte at[COPIES];
byte answer[COPIES];
byte incarnation = NAMED;
byte ledger;
byte sent; /* requests under way to the target */
byte runs; /* requests that the target ran */

#define SAID(what) (answer[0] == what || answer[1] == what)

#ifdef NO_INCARNATION_CHECK
#define ACCEPTED true
#else
#define ACCEPTED (incarnation == NAMED)
#endif

#ifdef NO_LEDGER
#define KNOWN NOTHING
#else
#define KNOWN ledger
#endif

#ifdef FORGET_REFUSAL
#define REFUSED NOTHING
#else
#define REFUSED NOTRUN
#endif

#ifdef FORWARDER_NOTRUN
#define UNREACHED NOTRUN
#else
#define UNREACHED UNKNOWN
#endif

inline say(i, what) {
	at[i] = ANSWERED;
	answer[i] = what
}

inline join(i) {
	at[i] = JOINED
}

inline restart() {
	incarnation++;
	ledger = NOTHING;
	if
	:: at[0] == JOINED -> say(0, UNKNOWN)
	:: else
	fi;
	if
	:: at[1] == JOINED -> say(1, UNKNOWN)
	:: else
	fi
}

/* A copy may be lost wherever it is; its caller then says unknown. */
#define PER_COPY(i) \
	:: d_step { at[i] == CALLER -> at[i] = FORWARDER } \
	:: d_step { at[i] == CALLER -> at[i] = UNDERWAY } \
	:: d_step { at[i] == FORWARDER -> at[i] = UNDERWAY } \
	:: d_step { at[i] == FORWARDER -> say(i, UNREACHED) } \
	:: d_step { at[i] == UNDERWAY -> say(i, UNKNOWN) } \
	:: d_step { at[i] == JOINED -> say(i, UNKNOWN) } \
	:: d_step { at[i] == UNDERWAY && !ACCEPTED -> say(i, UNKNOWN) } \
	:: d_step { at[i] == UNDERWAY && ACCEPTED && KNOWN == RUNNING -> join(i) } \
	:: d_step { at[i] == UNDERWAY && ACCEPTED && KNOWN == RAN -> say(i, RAN) } \
	:: d_step { at[i] == UNDERWAY && ACCEPTED && KNOWN == NOTRUN -> say(i, NOTRUN) } \
	:: d_step { at[i] == UNDERWAY && ACCEPTED && KNOWN == UNKNOWN -> say(i, UNKNOWN) } \
	:: d_step { at[i] == UNDERWAY && ACCEPTED && KNOWN == NOTHING -> \
		ledger = RUNNING; sent++; join(i) } \
	:: d_step { at[i] == UNDERWAY && ACCEPTED && KNOWN == NOTHING -> \
		ledger = REFUSED; say(i, NOTRUN) } \
	:: d_step { at[i] == JOINED && ledger == RAN -> say(i, RAN) } \
	:: d_step { at[i] == JOINED && ledger == UNKNOWN -> say(i, UNKNOWN) }

active proctype ticket() {
	do
	PER_COPY(0)
	PER_COPY(1)
	/* the target runs a request; its reply arrives or is lost */
	:: d_step { sent > 0 && ledger == RUNNING -> sent--; runs++; ledger = RAN }
	:: d_step { sent > 0 -> sent--; runs++ }
	/* a request is lost on the way to the target */
	:: d_step { sent > 0 -> sent-- }
	/* the deadline of the run ends */
	:: d_step { ledger == RUNNING -> ledger = UNKNOWN }
	:: d_step { incarnation < LAST -> restart() }
	:: runs > 1 -> assert(false)
	:: SAID(NOTRUN) && runs + sent > 0 -> assert(false)
	:: SAID(RAN) && runs == 0 -> assert(false)
#ifdef WITNESS
	:: answer[0] == RAN && answer[1] == RAN -> assert(false)
#endif
	:: at[0] == ANSWERED && at[1] == ANSWERED && sent == 0 -> break
	od
}

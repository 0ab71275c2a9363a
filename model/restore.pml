/*
 * Model of a store that is restored from older copies, and of hosts that read it
 * or each other. README.md explains the names.
 */
#define HOSTS    2
#define REVISIONS 5 /* revisions per era */
#define ERAS     3
#define VERSIONS 3

/* Each revision writes a version of the configuration, or another key (0). */
byte written[REVISIONS + 1];
byte revision = 1; /* of the store */
byte era = 1;      /* of the store */
byte newest = 1;   /* version that the operator wrote last */

/* of each host; position 0 before its first listing */
byte at_era[HOSTS];
byte at[HOSTS];
byte version[HOSTS]; /* in force */
byte item[HOSTS];    /* revision of its report of the configuration */

byte r; /* scratch, 0 between steps */
byte found, found_at;

/* the latest report of the configuration in the store up to a revision */
inline find_in_store(last) {
	found = 0; found_at = 0; r = 1;
	do
	:: r <= last ->
		if
		:: written[r] -> found = written[r]; found_at = r
		:: else
		fi;
		r++
	:: else -> break
	od;
	r = 0
}

/* puts the found configuration in force at a host */
inline apply(h) {
#ifdef NO_VERSION_ORDER
	assert(found >= version[h]);
	version[h] = found;
#else
	if
	:: found > version[h] -> version[h] = found
	:: else
	fi;
#endif
	item[h] = found_at
}

/* replaces the position of a host after a listing at e, p */
inline list(h, e, p) {
#ifdef NO_ERA
	if
	:: found_at > item[h] -> apply(h)
	:: else
	fi;
	if
	:: p > at[h] -> at[h] = p
	:: else
	fi;
#else
	apply(h);
	at[h] = p;
#endif
	at_era[h] = e
}

/* A host misses nothing that the store wrote up to the host's position. */
inline check_complete(h) {
	if
	:: at_era[h] == era && at[h] <= revision ->
		find_in_store(at[h]);
		assert(version[h] >= found)
	:: else
	fi;
	found = 0; found_at = 0
}

/* whether a position of era a may be compared with one of era b */
#ifdef NO_ERA
#define SAME_ERA(a, b) true
#else
#define SAME_ERA(a, b) (a == b)
#endif
#ifdef NO_ERA_BETWEEN_HOSTS
#define SAME_HOST_ERA(a, b) true
#else
#define SAME_HOST_ERA(a, b) SAME_ERA(a, b)
#endif

/* One call of host h to the store: a watch that is answered with changes, or
 * followed by a listing. */
inline read_store(h) {
	find_in_store(revision);
	if
	:: at[h] && SAME_ERA(at_era[h], era) && at[h] <= revision ->
		if
		:: found_at > at[h] -> apply(h)
		:: else
		fi;
		at[h] = revision;
		at_era[h] = era
	:: else -> list(h, era, revision)
	fi;
	check_complete(h)
}

/* One call of host h to host o. */
inline read_host(h, o) {
	found = version[o]; found_at = item[o];
	if
	:: at[h] && SAME_HOST_ERA(at_era[h], at_era[o]) ->
		if
		:: at[h] <= at[o] ->
			if
			:: found_at > at[h] -> apply(h)
			:: else
			fi;
			at[h] = at[o];
			at_era[h] = at_era[o]
		:: else /* o is behind */
		fi
	:: at[h] && at_era[h] > at_era[o] /* o is in a former era */
	:: else -> list(h, at_era[o], at[o])
	fi;
	check_complete(h)
}

active proctype store() {
	written[1] = 1;
	do
	:: atomic { revision < REVISIONS -> revision++; written[revision] = 0 }
	:: atomic {
		revision < REVISIONS && newest < VERSIONS ->
		newest++; revision++; written[revision] = newest
	}
	:: atomic { /* the operator writes again what was lost */
		revision < REVISIONS -> revision++; written[revision] = newest
	}
	:: atomic { /* restored from a copy */
		era < ERAS && revision > 1 ->
		era++; revision--;
		if
		:: revision > 1 -> revision--
		:: true
		fi
	}
	od
}

active [HOSTS] proctype host() {
	do
	:: atomic { written[1] -> read_store(_pid - 1) }
	:: atomic { at[2 - _pid] -> read_host(_pid - 1, 2 - _pid) }
#ifdef WITNESS
	:: atomic { at_era[_pid - 1] == 2 -> assert(false) }
#endif
	od
}

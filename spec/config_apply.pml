/* Model of submitting a configuration.
 *
 * Operators each submit one change: read the store, write by compare-and-swap
 * over the revision read, and find out what became of the write. Others (noise)
 * change the configuration as well. The store holds, with the configuration,
 * the ids of the last changes; their number is bounded.
 *
 * The network: a write, once sent, may be taken by the store at any later time,
 * any number of times, or never; its answer may be lost. So a write on its way
 * is a bit that stays set. Reads are answered at once or fail. An outage is a
 * stretch of steps in which the store takes nothing, and needs no state.
 */
// FAULTS: READ_PROVES NO_IDS NO_BOUND TRUST_REFUSAL LOST_IS_REFUSED NO_COMPARE
// REACHES: ACCEPTED_AFTER_LOSS REPLACED UNKNOWN CONFLICT WRITTEN_AGAIN

// SIZE: -DOPERATORS=2 -DNOISE=3 -DRECENT=2
// SIZE: -DOPERATORS=3 -DNOISE=0 -DRECENT=1

#ifndef OPERATORS
#define OPERATORS 2
#endif
#ifndef NOISE
#define NOISE 2   /* changes of others */
#endif
#ifndef RECENT
#define RECENT 2  /* former changes that the store's record names */
#endif
#define SENDS 2   /* times that an operator writes */
#define REVISIONS (OPERATORS + NOISE + 1)
#define NOBODY 255

/* Verdicts, as internal/apply has them. */
#define NONE 0
#define ACCEPTED 1 /* also where another change has replaced it */
#define CONFLICT 2
#define UNAVAILABLE 3
#define UNKNOWN 4

byte revision = 1;              /* what the store holds */
byte writer[REVISIONS + 1];     /* whose change each revision is */
byte accepted[OPERATORS];       /* the revision of a change, 0 for none */
byte base[OPERATORS];
bool sent[OPERATORS];           /* a write that may yet arrive */
byte verdict[OPERATORS];
byte noise = 0;

/* take is the store's step for a write of operator o. */
inline take(o, ok) {
	ok = false;
	if
#ifdef FAULT_NO_COMPARE
	:: accepted[o] == 0 ->
#else
	:: base[o] == revision ->
#endif
		assert(base[o] == revision); /* nobody's change is overwritten unseen */
		assert(accepted[o] == 0);    /* no change is accepted twice */
		assert(verdict[o] != CONFLICT && verdict[o] != UNAVAILABLE);
		revision++;
		assert(writer[revision] == NOBODY); /* one winner per revision */
		writer[revision] = o;
		accepted[o] = revision;
		ok = true
	:: else
	fi
}

/* knows reports whether the store's record names a revision's change. */
#ifdef FAULT_NO_IDS
#define knows(r) ((r) == revision)
#else
#define knows(r) ((r) + RECENT >= revision)
#endif
/* covers reports whether it names every change after a revision. */
#ifdef FAULT_NO_BOUND
#define covers(r) true
#else
#define covers(r) ((r) + RECENT >= revision)
#endif

inline conclude(o, v) {
	verdict[o] = v;
	assert(v != ACCEPTED || accepted[o] > 0);
	assert(v != CONFLICT && v != UNAVAILABLE || accepted[o] == 0)
}

proctype Operator(byte o) {
	bool lost = false;
	bool beaten = false;
	bool ok;
	byte sends = 0;

	base[o] = revision;
write:
	atomic {
		sends++;
		if
		:: sent[o] = true; /* the request leaves */
			if
			:: take(o, ok); /* it arrives, and its answer is read */
				if
				:: ok -> conclude(o, ACCEPTED); goto end
				:: else -> beaten = true
				fi
			:: take(o, ok); /* it arrives, and its answer is lost */
#ifdef FAULT_LOST_IS_REFUSED
				conclude(o, UNAVAILABLE); goto end;
#endif
				lost = true
			:: lost = true  /* it may arrive later */
			fi
		:: /* no connection: nothing leaves */
			if
#ifdef FAULT_TRUST_REFUSAL
			:: true -> conclude(o, UNAVAILABLE); goto end
#endif
			:: lost -> skip
			:: !lost -> conclude(o, UNAVAILABLE); goto end
			fi
		fi
	}
read:
	atomic {
		if
		:: lost -> conclude(o, UNKNOWN); goto end /* its time is up */
		:: !lost && beaten -> conclude(o, CONFLICT); goto end
		:: accepted[o] > 0 && knows(accepted[o]) ->
#ifdef REACH_ACCEPTED_AFTER_LOSS
			assert(!lost);
#endif
#ifdef REACH_REPLACED
			assert(accepted[o] == revision);
#endif
			conclude(o, ACCEPTED); goto end
		:: !(accepted[o] > 0 && knows(accepted[o])) && base[o] == revision && sends < SENDS ->
#ifdef FAULT_READ_PROVES
			conclude(o, UNAVAILABLE); goto end;
#endif
#ifdef REACH_WRITTEN_AGAIN
			assert(false);
#endif
			goto write
		:: !(accepted[o] > 0 && knows(accepted[o])) && base[o] != revision ->
			if
			:: lost && !covers(base[o]) ->
#ifdef REACH_UNKNOWN
				assert(false);
#endif
				conclude(o, UNKNOWN)
			:: else ->
#ifdef REACH_CONFLICT
				assert(!lost);
#endif
				conclude(o, CONFLICT)
			fi;
			goto end
		fi
	}
end:
	skip
}

/* Network delivers writes late. */
proctype Network() {
	byte o;
	bool ok;
end:
	do
	:: atomic {
		select(o : 0 .. OPERATORS - 1);
		if
		:: sent[o] && revision < REVISIONS -> take(o, ok)
		:: else
		fi
	}
	:: atomic { noise < NOISE -> noise++; revision++; assert(writer[revision] == NOBODY); writer[revision] = OPERATORS }
	od
}

init {
	byte i;
	atomic {
		for (i : 0 .. REVISIONS) { writer[i] = NOBODY }
		for (i : 0 .. OPERATORS - 1) { run Operator(i) }
		run Network()
	}
}

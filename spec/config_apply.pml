/* Model of configuration submission by operators.
 *
 * Modelled: each operator submits one change. It reads the store, writes by
 * compare-and-swap over the revision that it read, and determines whether the
 * store accepted the write. Other writers (noise) change the configuration at
 * the same time. With the configuration the store keeps a bounded list of the
 * ids of the last changes.
 *
 * Abstracted: a write that was sent may be applied by the store at any later
 * time, any number of times, or never, and its answer may be lost. A write in
 * transit is therefore a bit that stays set. A read is answered at once or fails.
 * A store outage is a sequence of steps in which the store applies nothing; it
 * needs no state.
 *
 * Checked: the store never overwrites a change that the writer has not read,
 * accepts no change twice, and assigns each revision to one writer. An operator
 * that reports "accepted" has had its change accepted. An operator that reports
 * "conflict" or "unavailable" has not, and its write is not accepted later.
 *
 * Seeded faults, each of which must violate an assertion:
 *   READ_PROVES      an unchanged revision counts as proof that the write in
 *                    transit will not be applied
 *   NO_IDS           the store's record names only the change of its present
 *                    revision
 *   NO_BOUND         the operator ignores that the list of ids is bounded
 *   TRUST_REFUSAL    a refused connection counts as "not accepted", although an
 *                    earlier write may still be in transit
 *   LOST_IS_REFUSED  a lost answer counts as "not accepted"
 *   NO_COMPARE       the store does not compare the revision on a write
 *
 * Reachability checks, each of which must find its state:
 *   ACCEPTED_AFTER_LOSS  "accepted" is reported although an answer was lost
 *   REPLACED             "accepted" is reported for a change that a later one
 *                        has already replaced
 *   UNKNOWN              the list of ids no longer reaches back to the revision
 *                        that was read, so the result is unknown
 *   CONFLICT             "conflict" is proved although an answer was lost
 *   WRITTEN_AGAIN        an operator writes a second time
 */
// FAULTS: READ_PROVES NO_IDS NO_BOUND TRUST_REFUSAL LOST_IS_REFUSED NO_COMPARE
// REACHES: ACCEPTED_AFTER_LOSS REPLACED UNKNOWN CONFLICT WRITTEN_AGAIN

// SIZE: -DOPERATORS=2 -DNOISE=3 -DRECENT=2
// SIZE: -DOPERATORS=3 -DNOISE=0 -DRECENT=1

#ifndef OPERATORS
#define OPERATORS 2
#endif
#ifndef NOISE
#define NOISE 2   /* changes made by other writers */
#endif
#ifndef RECENT
#define RECENT 2  /* earlier changes whose ids the store's record holds */
#endif
#define SENDS 2   /* maximum number of writes by one operator */
#define REVISIONS (OPERATORS + NOISE + 1)
#define NOBODY 255

/* Results of a submission; they correspond to those of internal/apply. */
#define NONE 0
#define ACCEPTED 1 /* also if a later change has replaced it */
#define CONFLICT 2
#define UNAVAILABLE 3
#define UNKNOWN 4

byte revision = 1;              /* revision in the store */
byte writer[REVISIONS + 1];     /* operator whose change made each revision */
byte accepted[OPERATORS];       /* revision made by the operator's change, 0 for none */
byte base[OPERATORS];           /* revision that the operator read */
bool sent[OPERATORS];           /* a write is in transit and may still arrive */
byte verdict[OPERATORS];
byte noise = 0;                 /* changes made by other writers so far */

/* take processes a write of operator o in the store; ok is set if the store
 * accepts it. */
inline take(o, ok) {
	ok = false;
	if
#ifdef FAULT_NO_COMPARE
	:: accepted[o] == 0 ->
#else
	:: base[o] == revision ->
#endif
		assert(base[o] == revision); /* no change is overwritten unread */
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

/* knows is true if the store's record holds the id of the change that made
 * revision r. */
#ifdef FAULT_NO_IDS
#define knows(r) ((r) == revision)
#else
#define knows(r) ((r) + RECENT >= revision)
#endif
/* covers is true if the store's record holds the ids of all changes after
 * revision r. */
#ifdef FAULT_NO_BOUND
#define covers(r) true
#else
#define covers(r) ((r) + RECENT >= revision)
#endif

/* conclude ends the submission of operator o with result v. */
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
		:: sent[o] = true; /* the request is sent */
			if
			:: take(o, ok); /* it arrives, and the operator receives the answer */
				if
				:: ok -> conclude(o, ACCEPTED); goto end
				:: else -> beaten = true
				fi
			:: take(o, ok); /* it arrives, but the answer is lost */
#ifdef FAULT_LOST_IS_REFUSED
				conclude(o, UNAVAILABLE); goto end;
#endif
				lost = true
			:: lost = true  /* it may arrive later */
			fi
		:: /* no connection: nothing is sent */
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
		:: lost -> conclude(o, UNKNOWN); goto end /* the operator's deadline has passed */
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

/* Network delivers writes late or repeatedly, and makes the changes of other
 * writers. */
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

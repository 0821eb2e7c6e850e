/* Model of configuration adoption by the balancers.
 *
 * Modelled: balancers fetch revisions from the store or from peers, at any time
 * and in any order, and restart without memory. A balancer that has restarted
 * begins to serve only when the rule of internal/adopt permits it.
 *
 * Abstracted: a message may arrive arbitrarily late. The revision that a process
 * reports only increases, so a late message is modelled as one that reports any
 * revision between the one that its sender had when the receiver started (low)
 * and the one that the sender has now. A message sent before the receiver's
 * start is never delivered. Store outages, network cuts and pauses are sequences
 * of steps in which some steps do not occur; they need no state.
 *
 * Checked: a revision is in force once a majority of the balancers serves on it
 * or on a later one. A process never adopts a lower revision than its own, and
 * never begins to serve on a revision lower than the one that was in force when
 * the process started.
 *
 * Seeded faults, each of which must violate an assertion:
 *   FALLS           a serving balancer goes back to the previous revision
 *   ONE_ANSWER      one peer's answer is enough to begin serving
 *   NEWCOMERS       answers of peers that do not serve yet are counted
 *   OLD_READING     a read of the store made before the start is accepted
 *   HIGHER_IGNORED  a balancer begins to serve although a higher revision was
 *                   reported to it
 *   LATE_ANSWERS    the last answer replaces the highest reported revision
 *
 * Reachability checks, each of which must find its state:
 *   SERVES_BY_PEERS  a balancer begins to serve on revision 2 or later without
 *                    a read of the store, by the answers of its peers
 *   SERVES_BY_STORE  a balancer begins to serve after a read of the store
 *   LAGS             balancer 0 serves on a revision lower than the one in force
 *   REFUSES          a balancer has a revision, but may not serve on it yet
 */
// FAULTS: FALLS ONE_ANSWER NEWCOMERS OLD_READING HIGHER_IGNORED LATE_ANSWERS
// REACHES: SERVES_BY_PEERS SERVES_BY_STORE LAGS REFUSES

// SIZE: -DBALANCERS=3 -DREVISIONS=2 -DRESTARTS=3
// SIZE: -DBALANCERS=4 -DREVISIONS=3 -DRESTARTS=1

#ifndef BALANCERS
#define BALANCERS 4
#endif
#ifndef REVISIONS
#define REVISIONS 3
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define MAJORITY (BALANCERS / 2 + 1)
#ifdef FAULT_ONE_ANSWER
#define QUORUM 1
#else
#define QUORUM ((BALANCERS - 1) / 2 + 1) /* a majority of the other balancers */
#endif
#define NEVER 255

byte stored = 1;             /* revision in the store */
byte in_force = 1;           /* highest revision that a majority has served on */
byte restarts = 0;

byte have[BALANCERS];        /* adopted revision, 0 for none */
bool serving[BALANCERS];
/* State of a process that does not serve yet: */
byte start_force[BALANCERS]; /* in_force when the process started */
byte start_stored[BALANCERS]; /* stored when the process started */
byte higher[BALANCERS];      /* highest revision that a peer reported, 0 for none */
byte read[BALANCERS];        /* highest revision read from the store, 0 for none */
byte vouch[BALANCERS];       /* bit set of the peers that answered */
byte low[BALANCERS * BALANCERS]; /* low[b*BALANCERS+p]: lowest revision that p may report to b */

/* Temporary variables of the inlines, not part of the state vector. */
hidden byte i_q, i_r, i_n;

#define LOW(b, p) low[(b) * BALANCERS + (p)]

/* none_higher is true if neither a peer nor the store reported to b a revision
 * higher than the one that b has. */
#ifdef FAULT_HIGHER_IGNORED
#define none_higher(b) true
#else
#define none_higher(b) (have[b] >= higher[b] && have[b] >= read[b])
#endif

/* rise adopts revision r at balancer b. */
inline rise(b, r) {
	assert(r >= have[b]);
	have[b] = r
}

/* count sets n to the number of bits set in v. */
inline count(v, n) {
	n = (v & 1) + ((v >> 1) & 1) + ((v >> 2) & 1) + ((v >> 3) & 1)
}

/* note_in_force raises in_force to the highest revision that a majority of the
 * balancers serves on, at that revision or a later one. */
inline note_in_force() {
	for (i_r : 1 .. REVISIONS) {
		i_n = 0;
		for (i_q : 0 .. BALANCERS - 1) {
			if
			:: serving[i_q] && have[i_q] >= i_r -> i_n++
			:: else
			fi
		}
		if
		:: i_n >= MAJORITY && i_r > in_force -> in_force = i_r
		:: else
		fi
	}
}

/* forget clears the state that is used only until balancer b serves. */
inline forget(b) {
	start_force[b] = 0; start_stored[b] = 0; higher[b] = 0; read[b] = 0; vouch[b] = 0;
	for (i_q : 0 .. BALANCERS - 1) { LOW(b, i_q) = 0 }
}

/* restart replaces balancer b by a process without memory. Peers that serve at
 * this time may report to it the revision that they have now, or a later one. */
inline restart(b) {
	restarts++;
	serving[b] = false;
	have[b] = 0;
	forget(b);
	start_force[b] = in_force;
	start_stored[b] = stored;
	for (i_q : 0 .. BALANCERS - 1) {
		LOW(b, i_q) = NEVER;
		if
		:: i_q != b && serving[i_q] -> LOW(b, i_q) = have[i_q]
		:: else
		fi
	}
}

/* begin lets balancer b serve on the revision that it has. Processes that do not
 * serve yet may receive its answers from now on. */
inline begin(b) {
	assert(have[b] >= start_force[b]);
	serving[b] = true;
	forget(b);
	for (i_q : 0 .. BALANCERS - 1) {
		if
		:: i_q != b && !serving[i_q] && have[b] < LOW(i_q, b) -> LOW(i_q, b) = have[b]
		:: else
		fi
	}
	note_in_force()
}

proctype Balancer(byte b) {
	byte p, r, n;
end:
	do
	/* A serving balancer adopts a later revision, from the store or from a peer. */
	:: atomic { serving[b] && have[b] < stored ->
		select(r : have[b] + 1 .. stored);
		rise(b, r);
		note_in_force();
		r = 0
	}
#ifdef FAULT_FALLS
	:: atomic { serving[b] && have[b] > 1 -> rise(b, have[b] - 1) }
#endif
	/* A balancer that does not serve yet receives the answer of a peer. */
	:: atomic { !serving[b] ->
		select(p : 0 .. BALANCERS - 1);
		if
		:: p != b && LOW(b, p) != NEVER ->
			if
			:: serving[p] -> select(r : LOW(b, p) .. have[p])
			:: else -> r = LOW(b, p)
			fi;
#ifdef FAULT_LATE_ANSWERS
			higher[b] = r;
#else
			higher[b] = (r > higher[b] -> r : higher[b]);
#endif
			vouch[b] = vouch[b] | (1 << p)
#ifdef FAULT_NEWCOMERS
		:: p != b && !serving[p] && have[p] > 0 ->
			higher[b] = (have[p] > higher[b] -> have[p] : higher[b]);
			vouch[b] = vouch[b] | (1 << p)
#endif
		:: else
		fi;
		p = 0; r = 0
	}
	/* It reads the store, or receives the result of a read that was made after
	 * its start. */
	:: atomic { !serving[b] && read[b] < stored ->
#ifdef FAULT_OLD_READING
		select(r : 1 .. stored);
#else
		select(r : start_stored[b] .. stored);
#endif
		read[b] = (r > read[b] -> r : read[b]);
		r = 0
	}
	/* It fetches a higher revision that a peer or the store reported. */
	:: atomic { !serving[b] && (higher[b] > have[b] || read[b] > have[b]) ->
		if
		:: higher[b] > have[b] -> rise(b, higher[b])
		:: read[b] > have[b] -> rise(b, read[b])
		fi
	}
	/* It decides whether it may serve. */
	:: atomic { !serving[b] && have[b] > 0 && none_higher(b) ->
		count(vouch[b], n);
		if
		:: read[b] > 0 ->
#ifdef REACH_SERVES_BY_STORE
			assert(false);
#endif
			begin(b)
		:: n >= QUORUM ->
#ifdef REACH_SERVES_BY_PEERS
			assert(read[b] > 0 || have[b] < 2);
#endif
			begin(b)
		:: else ->
#ifdef REACH_REFUSES
			assert(false);
#endif
			skip
		fi;
		n = 0
	}
	:: atomic { restarts < RESTARTS -> restart(b) }
	od
}

/* Store accepts configuration changes. */
proctype Store() {
end:
	do
	:: stored < REVISIONS -> stored++
	od
}

#ifdef REACH_LAGS
active proctype Watch() {
	assert(!(serving[0] && have[0] < in_force))
}
#endif

init {
	byte i;
	atomic {
		for (i : 0 .. BALANCERS - 1) {
			have[i] = 1;
			serving[i] = true;
			run Balancer(i)
		}
		run Store()
	}
}

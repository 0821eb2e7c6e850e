/* Model of tickets and outcomes.
 *
 * Two agents, each the home of the tickets that it issues. One caller submits
 * one request: it retries under the same ticket when no answer came, takes a
 * fresh ticket when told "not run", and stops at any other outcome. A second
 * caller (rogue) sends another body under the first ticket. Each attempt
 * arrives at any agent; an agent that is not the home passes it on.
 *
 * The network: a message, once sent, may be delivered at any later time, any
 * number of times, in any order, or never. So a message is a bit that stays
 * set. A paused process is one whose next step comes arbitrarily late; every
 * interleaving is explored, so pauses need no state of their own.
 *
 * An agent may stop in good order: it closes its window, which voids what is
 * queued and unused, and then gives its last word, the closing, to the others.
 *
 * The upstream takes a started request from the wire at any later time, also
 * when its agent has died, and may crash before, during or after the run.
 *
 * The constants below state the size that is explored.
 */
// FAULTS: VOID_SPLIT INCARNATION NONHOME_NOTRUN FORGET DEADLINE RUN_ELSEWHERE RERUN CANCEL_RUNNING NO_DIGEST BLANK CRASH_NOTRUN VOID_FORGOTTEN CLOSE_EARLY CLOSE_FORGETS
// REACHES: COMPLETE_BY_PASS NOTRUN UNKNOWN SECOND_TICKET REPLAY CRASH_THEN_UNKNOWN JOINED CLOSING_TOLD

// SIZE: -DTICKETS=2 -DHONEST=2 -DCRASHES=2
// SIZE: -DTICKETS=1 -DHONEST=2 -DROGUES=1
// SIZE: -DTICKETS=2 -DHONEST=2 -DSTOPS=1
// SIZE: -DTICKETS=1 -DHONEST=2 -DROGUES=1 -DCRASHES=2
// SIZE: -DTICKETS=2 -DHONEST=3

#define AGENTS   2
#ifndef TICKETS
#define TICKETS  2  /* the first, and the fresh one after "not run" */
#endif
#ifndef HONEST
#define HONEST   2  /* attempts of the caller */
#endif
#ifndef ROGUES
#define ROGUES   0  /* attempts of another request under the first ticket */
#endif
#ifndef STOPS
#define STOPS    0  /* 1: agents may stop in good order */
#endif
#define ATTEMPTS (HONEST + ROGUES)
#define ROGUE    HONEST
#ifndef CRASHES
#define CRASHES  1  /* of agents in all, each once at most */
#endif

/* States of a ticket at its home. */
#define UNUSED  0
#define QUEUED  1
#define RUNNING 2
#define DONE    3
#define VOIDED  4
#define SPENT   5  /* may have run, the record is gone */

/* Outcomes, also used as what a reply carries. */
#define NONE     0
#define COMPLETE 1
#define NOTRUN   2
#define UNKNOWN  3

/* Where a started request is on its way to and in the upstream. */
#define IDLE    0
#define ON_WIRE 1
#define AT_WORK 2
#define ANSWERED 3
#define BROKEN  4
#define REFUSED 5  /* no byte was sent, and the agent knows it */

byte home[TICKETS];
bit  incarnation[AGENTS];  /* 1 after a crash and restart */
bit  issuer[TICKETS];      /* incarnation that issued the ticket */
byte crashes;
bit  closed[AGENTS];       /* the first incarnation has closed its window */
byte closing[TICKETS];     /* what the home's closing says, in the network */

/* The home's window. */
byte state[TICKETS];
bit  body[TICKETS];        /* digest that the ticket is bound to */
bit  late[TICKETS];        /* the deadline is past */
byte record[TICKETS];      /* recorded answer */

/* The upstream of the home. */
byte work[TICKETS];
bit  workBody[TICKETS];
byte workAnswer[TICKETS];

/* Attempts. */
byte at[ATTEMPTS];         /* agent at which the attempt arrived, AGENTS: none */
byte under[ATTEMPTS];      /* ticket */
#ifdef FAULT_NONHOME_NOTRUN
bit  kept[ATTEMPTS];       /* the pass to the home never left */
#endif
bit  gone[ATTEMPTS];       /* the agent at which it arrived has crashed */
bit  waits[ATTEMPTS];      /* the home counts the attempt as waiting */
byte reply[ATTEMPTS];      /* the home's reply is in the network */
byte replyAnswer[ATTEMPTS];
byte told[ATTEMPTS];       /* what the caller was told */

/* What really happened, unknown to all processes. */
byte runs[2];              /* of each body */
byte truth[TICKETS];       /* answer of the run under the ticket */
bit  ran[TICKETS];
bit  ranBody[TICKETS];
bit  denied[TICKETS * 2];  /* "not run" was told about ticket and body */

#define BODY(a)   ((a) == ROGUE)
#define ISHOME(a) (at[a] == home[under[a]])
#ifdef FAULT_NONHOME_NOTRUN
#define PASSED(a) (!ISHOME(a) && !kept[a])
#else
#define PASSED(a) (!ISHOME(a)) /* sent at once, and in the network for ever */
#endif
#define ALIVE(t)  (issuer[t] == incarnation[home[t]])

/* tell ends attempt a with outcome o: the only place where a caller learns
 * something, so what must hold of outcomes is asserted here. */
inline tell(a, o, answer) {
	assert(told[a] == NONE);
	told[a] = o;
	if
	:: o == NOTRUN ->
		denied[under[a] * 2 + BODY(a)] = 1;
		assert(!(ran[under[a]] && ranBody[under[a]] == BODY(a)))
	:: o == COMPLETE ->
		assert(ran[under[a]] && ranBody[under[a]] == BODY(a));
		assert(answer == truth[under[a]])
	:: else
	fi;
#ifdef REACH_COMPLETE_BY_PASS
	assert(!(o == COMPLETE && !ISHOME(a)));
#endif
#ifdef REACH_NOTRUN
	assert(o != NOTRUN);
#endif
#ifdef REACH_UNKNOWN
	assert(o != UNKNOWN);
#endif
	reply[a] = NONE; /* last: an argument may name it */
	replyAnswer[a] = 0;
}

/* answerNow replies to one attempt. A reply to one that was told already is
 * dropped there, so it is not sent here: that saves states only. */
inline answerNow(a, o, answer) {
	if
	:: told[a] == NONE ->
		reply[a] = o;
		replyAnswer[a] = answer
	:: else
	fi
}

/* settle gives the one outcome to all that wait on the ticket. */
inline settle(t, o, answer) {
	for (k : 0 .. ATTEMPTS - 1) {
		if
		:: waits[k] && under[k] == t ->
			waits[k] = 0;
			answerNow(k, o, answer)
		:: else
		fi
	};
	k = 0
}

/* arrive is the home's Admit: the attempt reached the home's address, for the
 * first time or again. */
inline arrive(a, t) {
	if
#ifdef FAULT_INCARNATION
	:: false -> skip
#else
	:: !ALIVE(t) -> answerNow(a, UNKNOWN, 0)
#endif
#ifdef FAULT_INCARNATION
	:: true ->
#else
	:: ALIVE(t) ->
#endif
		if
		:: state[t] == UNUSED && !closed[home[t]] ->
			state[t] = QUEUED;
			body[t] = BODY(a);
			waits[a] = 1
		:: state[t] == UNUSED -> /* no room, no class or no body: refused for good */
			state[t] = VOIDED;
			answerNow(a, NOTRUN, 0)
		:: state[t] == VOIDED -> answerNow(a, NOTRUN, 0)
		:: state[t] == SPENT -> answerNow(a, UNKNOWN, 0)
#ifndef FAULT_NO_DIGEST
		:: (state[t] == QUEUED || state[t] == RUNNING || state[t] == DONE) && body[t] != BODY(a) ->
			answerNow(a, NOTRUN, 0)
		:: (state[t] == QUEUED || state[t] == RUNNING) && body[t] == BODY(a) ->
#else
		:: (state[t] == QUEUED || state[t] == RUNNING) ->
#endif
#ifdef REACH_JOINED
			assert(waits[a] || a == 0);
#endif
			waits[a] = 1
#ifndef FAULT_NO_DIGEST
		:: state[t] == DONE && body[t] == BODY(a) ->
#else
		:: state[t] == DONE ->
#endif
#ifdef REACH_REPLAY
			assert(reply[a] != NONE);
#endif
#ifdef FAULT_BLANK
			answerNow(a, COMPLETE, 0)
#else
			answerNow(a, COMPLETE, record[t])
#endif
		fi
	fi
}

/* speak is the closing of agent g. */
inline speak(g) {
	for (t : 0 .. TICKETS - 1) {
		if
		:: home[t] == g && (state[t] == UNUSED || state[t] == VOIDED) -> closing[t] = NOTRUN
#ifdef FAULT_CLOSE_FORGETS
		:: home[t] == g && state[t] == SPENT -> closing[t] = NOTRUN
		:: home[t] == g && (state[t] == QUEUED || state[t] == RUNNING || state[t] == DONE) -> closing[t] = UNKNOWN
#else
		:: home[t] == g && state[t] != UNUSED && state[t] != VOIDED -> closing[t] = UNKNOWN
#endif
		:: else
		fi
	};
	t = 0
}

/* Ticket is the home's part for ticket t. Each atomic step is one call of the
 * window; the home's messages to its own tasks are part of the step. */
proctype Ticket(byte t) {
	byte k = 0;
end:
	do
	:: atomic { state[t] == QUEUED -> /* a slot is free: start, or void what is late */
		if
#ifdef FAULT_DEADLINE
		:: true ->
#else
		:: late[t] ->
			state[t] = VOIDED;
			settle(t, NOTRUN, 0)
		:: !late[t] ->
#endif
			state[t] = RUNNING;
			assert(!late[t]);
			work[t] = ON_WIRE;
			workBody[t] = body[t]
		fi
	}
	:: atomic { state[t] == QUEUED -> /* shed: void, which takes it out of the queue */
#ifndef FAULT_VOID_SPLIT
		state[t] = VOIDED;
#endif
		settle(t, NOTRUN, 0)
	}
	:: atomic { state[t] == RUNNING && work[t] == ANSWERED ->
		work[t] = IDLE;
		state[t] = DONE;
		record[t] = workAnswer[t];
		settle(t, COMPLETE, record[t])
	}
	:: atomic { state[t] == RUNNING && work[t] == REFUSED ->
		work[t] = IDLE;
		state[t] = VOIDED;
		settle(t, NOTRUN, 0)
	}
	:: atomic { state[t] == RUNNING && work[t] == BROKEN ->
		work[t] = IDLE;
#ifdef FAULT_RERUN
		state[t] = QUEUED
#else
#ifdef FAULT_CRASH_NOTRUN
		state[t] = VOIDED;
		settle(t, NOTRUN, 0)
#else
		state[t] = SPENT;
		settle(t, UNKNOWN, 0)
#endif
#endif
	}
	:: atomic { state[t] == RUNNING && late[t] -> /* the run may have taken effect */
		state[t] = SPENT;
		settle(t, UNKNOWN, 0)
	}
	:: atomic { state[t] == DONE || state[t] == VOIDED -> /* the bound: forget */
#ifdef FAULT_FORGET
		state[t] = UNUSED
#else
#ifdef FAULT_VOID_FORGOTTEN
		state[t] = (state[t] == VOIDED -> UNUSED : SPENT)
#else
		state[t] = SPENT
#endif
#endif
	}
	:: atomic { home[t] < AGENTS && state[t] == UNUSED -> /* below the low-water mark */
		state[t] = SPENT
	}
	od
}

/* Attempt is attempt a at the agent where it arrived, and its messages. */
proctype Attempt(byte a) {
	byte k = 0;
	bit others = 0;
end:
	do
	:: atomic { at[a] < AGENTS && !waits[a] &&
		((ISHOME(a) && !gone[a] && told[a] == NONE && reply[a] == NONE) || PASSED(a)) ->
		arrive(a, under[a])
	}
	:: atomic { at[a] < AGENTS && reply[a] != NONE && !gone[a] && told[a] == NONE ->
#ifdef REACH_CRASH_THEN_UNKNOWN
		assert(!(reply[a] == UNKNOWN && !ISHOME(a) && incarnation[home[under[a]]]));
#endif
		tell(a, reply[a], replyAnswer[a])
	}
	:: atomic { at[a] < AGENTS && !gone[a] && told[a] == NONE && closing[under[a]] != NONE &&
		(!ISHOME(a) || !ALIVE(under[a])) ->
#ifdef REACH_CLOSING_TOLD
		assert(closing[under[a]] != NOTRUN);
#endif
		tell(a, closing[under[a]], 0)
	}
	:: atomic { at[a] < AGENTS && !ISHOME(a) && !gone[a] && told[a] == NONE ->
		/* the home is gone, unreachable or silent */
#ifdef FAULT_RUN_ELSEWHERE
		if
		:: work[under[a]] == IDLE -> work[under[a]] = ON_WIRE; workBody[under[a]] = BODY(a)
		:: else
		fi;
#endif
#ifdef FAULT_NONHOME_NOTRUN
		if
		:: !waits[a] && reply[a] == NONE -> kept[a] = 1; tell(a, NOTRUN, 0)
		:: true -> tell(a, UNKNOWN, 0)
		fi
#else
		tell(a, UNKNOWN, 0)
#endif
	}
	:: atomic { waits[a] -> /* the caller cancelled, and the home learns of it */
		waits[a] = 0;
		if
#ifdef FAULT_CANCEL_RUNNING
		:: state[under[a]] == QUEUED || state[under[a]] == RUNNING ->
#else
		:: state[under[a]] == QUEUED ->
#endif
			for (k : 0 .. ATTEMPTS - 1) {
				if
				:: waits[k] && under[k] == under[a] -> others = 1
				:: else
				fi
			};
			if
			:: others -> answerNow(a, UNKNOWN, 0)
			:: else -> state[under[a]] = VOIDED; answerNow(a, NOTRUN, 0)
			fi;
			k = 0; others = 0
		:: else -> answerNow(a, UNKNOWN, 0)
		fi
	}
	od
}

#if STOPS
/* Stop ends agent g in good order; a crash may come at any moment between. */
proctype Stop(byte g) {
	byte k = 0, t = 0;
#ifdef FAULT_CLOSE_EARLY
end0:
	atomic { incarnation[g] == 0 -> speak(g) }
#endif
end1:
	atomic { incarnation[g] == 0 ->
		closed[g] = 1;
		for (t : 0 .. TICKETS - 1) {
			if
			:: home[t] == g && (state[t] == UNUSED || state[t] == QUEUED) ->
				state[t] = VOIDED;
				settle(t, NOTRUN, 0)
			:: else
			fi
		};
		t = 0
	}
#ifndef FAULT_CLOSE_EARLY
end2:
	atomic { incarnation[g] == 0 -> speak(g) }
#endif
}
#endif

/* Crash restarts agent g as a new incarnation without memory. */
proctype Crash(byte g) {
	byte k = 0;
end:
	atomic { crashes < CRASHES ->
		crashes++;
		incarnation[g] = 1;
		closed[g] = 0;
		for (k : 0 .. TICKETS - 1) {
			if
			:: home[k] == g ->
				state[k] = UNUSED;
				body[k] = 0;
				record[k] = 0
			:: else
			fi
		};
		for (k : 0 .. ATTEMPTS - 1) {
			if
			:: at[k] < AGENTS && home[under[k]] == g -> waits[k] = 0
			:: else
			fi;
			if
			:: at[k] == g -> gone[k] = 1 /* its caller's connection broke */
			:: else
			fi
		};
		k = 0
	}
}

/* Upstream of ticket t's home. */
proctype Upstream(byte t) {
end:
	do
	:: atomic { work[t] == ON_WIRE ->
		if
		:: work[t] = REFUSED
		:: work[t] = BROKEN /* nothing ran, but the agent can't tell */
		:: work[t] = AT_WORK;
			assert(runs[workBody[t]] == 0);
			assert(!ran[t]);
			assert(!denied[t * 2 + workBody[t]]);
			runs[workBody[t]]++;
			ran[t] = 1;
			ranBody[t] = workBody[t];
			truth[t] = t + 1
		fi
	}
	:: atomic { work[t] == AT_WORK ->
		if
		:: work[t] = BROKEN
		:: work[t] = ANSWERED; workAnswer[t] = truth[t]
		fi
	}
	od
}

/* Clock lets the deadline of ticket t pass. */
proctype Clock(byte t) {
	late[t] = 1
}

/* Caller submits the request until it was told an outcome that ends it. */
proctype Caller() {
	byte a = 0, t = 0, g;
	do
	:: a < HONEST ->
		atomic {
			select(g : 0 .. AGENTS - 1);
			under[a] = t;
			at[a] = g;
			g = 0
		}
		if
		:: atomic { told[a] == NOTRUN ->
			if
			:: t < TICKETS - 1 ->
				t++;
				select(g : 0 .. AGENTS - 1); /* whoever spoke issues it */
				home[t] = g;
				issuer[t] = incarnation[g];
				state[t] = UNUSED;
				g = 0
#ifdef REACH_SECOND_TICKET
				; assert(false)
#endif
			:: else -> break
			fi }
		:: told[a] == COMPLETE || told[a] == UNKNOWN -> break
		:: told[a] == NONE /* no answer: the connection broke, or the caller is impatient */
		fi;
		a++
	:: else -> break
	od
}

#if ROGUES
/* Rogue sends another body under the first ticket. */
proctype Rogue() {
	byte g;
	atomic {
		select(g : 0 .. AGENTS - 1);
		under[ROGUE] = 0;
		at[ROGUE] = g;
		g = 0
	}
}
#endif

init {
	atomic {
		byte i;
		for (i : 0 .. ATTEMPTS - 1) { at[i] = AGENTS };
		for (i : 0 .. TICKETS - 1) { home[i] = AGENTS };
		home[0] = 0;
		for (i : 0 .. ATTEMPTS - 1) { run Attempt(i) };
		for (i : 0 .. TICKETS - 1) { run Ticket(i); run Upstream(i); run Clock(i) };
#if STOPS
		run Stop(0);
		run Stop(1);
#endif
		run Crash(0);
		run Crash(1);
#if ROGUES
		run Rogue();
#endif
		run Caller()
	}
}

/* Model of tickets and the outcomes that callers receive.
 *
 * Modelled: two agents, each the home of the tickets that it issues. One caller
 * submits one request. It retries under the same ticket if it received no answer,
 * takes a new ticket after "not run", and stops at any other outcome. A second
 * caller (rogue) sends another body under the first ticket. Each attempt arrives
 * at any agent; an agent that is not the ticket's home forwards it to the home.
 *
 * An agent may shut down in good order: it closes its window, which voids the
 * queued and the unused tickets, and then sends a final message, the closing, to
 * the other agents. For each of its tickets the closing says "not run" or
 * "unknown".
 *
 * The upstream may receive a started request at any later time, also after its
 * agent has crashed, and may itself crash before, during or after the run.
 *
 * Abstracted: a message that was sent may be delivered at any later time, any
 * number of times, in any order, or never. A message is therefore a bit that
 * stays set. A paused process is one whose next step occurs arbitrarily late;
 * every interleaving is explored, so pauses need no state of their own.
 *
 * Checked: each body runs at most once, under whichever ticket, and no request is
 * started after its deadline. "Not run" is reported only for a ticket and body
 * that have not run, and they never run afterwards. "Complete" is reported only
 * for a ticket under which this body ran, with the answer of that run.
 *
 * Seeded faults, each of which must violate an assertion:
 *   VOID_SPLIT      the home answers "not run" for a queued ticket that it sheds,
 *                   but does not void the ticket in the same step
 *   INCARNATION     the home accepts tickets of its earlier incarnation
 *   NONHOME_NOTRUN  an agent that is not the home answers "not run" because it
 *                   has not forwarded the attempt itself
 *   FORGET          the home forgets a ticket that is done or voided, and then
 *                   treats it as unused
 *   DEADLINE        the home starts a request after its deadline
 *   RUN_ELSEWHERE   an agent that is not the home starts the request itself when
 *                   it has no answer from the home
 *   RERUN           the home queues a request again after the upstream
 *                   connection broke
 *   CANCEL_RUNNING  the home voids a running request that its caller cancelled
 *   NO_DIGEST       the home does not compare the body with the digest that the
 *                   ticket is bound to
 *   BLANK           the home repeats a recorded answer without its content
 *   CRASH_NOTRUN    the home answers "not run" after the upstream connection broke
 *   VOID_FORGOTTEN  the home forgets a voided ticket, and then treats it as unused
 *   CLOSE_EARLY     an agent sends its closing before it closes its window
 *   CLOSE_FORGETS   the closing says "not run" of tickets that may have run
 *
 * Reachability checks, each of which must find its state:
 *   COMPLETE_BY_PASS    the caller receives "complete" through an agent that is
 *                       not the home
 *   NOTRUN              a caller receives "not run"
 *   UNKNOWN             a caller receives "unknown"
 *   SECOND_TICKET       the caller takes a second ticket
 *   REPLAY              the home repeats the recorded answer of a request that is
 *                       done to an attempt without a pending reply
 *   CRASH_THEN_UNKNOWN  an agent passes on the "unknown" of a home that crashed
 *                       and restarted
 *   JOINED              a later attempt joins a request that is queued or running
 *   CLOSING_TOLD        a caller receives "not run" because of a closing
 *
 * The constants below set the size of the model that is explored.
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
#define TICKETS  2  /* the first ticket, and a new one after "not run" */
#endif
#ifndef HONEST
#define HONEST   2  /* attempts by the caller */
#endif
#ifndef ROGUES
#define ROGUES   0  /* attempts by the second caller, with another request under the first ticket */
#endif
#ifndef STOPS
#define STOPS    0  /* 1: agents may shut down in good order */
#endif
#define ATTEMPTS (HONEST + ROGUES)
#define ROGUE    HONEST
#ifndef CRASHES
#define CRASHES  1  /* maximum of agent crashes in total; each agent crashes at most once */
#endif

/* States of a ticket at its home. */
#define UNUSED  0
#define QUEUED  1
#define RUNNING 2
#define DONE    3
#define VOIDED  4
#define SPENT   5  /* may have run; its record no longer exists */

/* Outcomes, also used as the contents of a reply. */
#define NONE     0
#define COMPLETE 1
#define NOTRUN   2
#define UNKNOWN  3

/* States of a started request between the agent and the upstream. */
#define IDLE    0
#define ON_WIRE 1
#define AT_WORK 2
#define ANSWERED 3
#define BROKEN  4
#define REFUSED 5  /* no byte was sent, and the agent detects this */

byte home[TICKETS];        /* agent that issued the ticket, AGENTS: not issued yet */
bit  incarnation[AGENTS];  /* 1 after a crash and restart */
bit  issuer[TICKETS];      /* incarnation that issued the ticket */
byte crashes;              /* crashes so far */
bit  closed[AGENTS];       /* the first incarnation has closed its window */
byte closing[TICKETS];     /* outcome in the home's closing once it was sent, else NONE */

/* The home's window: the state that it keeps of its tickets. */
byte state[TICKETS];
bit  body[TICKETS];        /* digest that the ticket is bound to */
bit  late[TICKETS];        /* the deadline has passed */
byte record[TICKETS];      /* recorded answer */

/* The upstream of the home. */
byte work[TICKETS];
bit  workBody[TICKETS];
byte workAnswer[TICKETS];

/* Attempts. */
byte at[ATTEMPTS];         /* agent at which the attempt arrived, AGENTS: none */
byte under[ATTEMPTS];      /* ticket */
#ifdef FAULT_NONHOME_NOTRUN
bit  kept[ATTEMPTS];       /* the attempt was never forwarded to the home */
#endif
bit  gone[ATTEMPTS];       /* the agent at which it arrived has crashed */
bit  waits[ATTEMPTS];      /* the attempt waits at the home for the outcome */
byte reply[ATTEMPTS];      /* the home's reply is in the network */
byte replyAnswer[ATTEMPTS];
byte told[ATTEMPTS];       /* outcome that the caller received */

/* The actual runs. Agents and callers cannot read this state; assertions compare
 * outcomes with it. */
byte runs[2];              /* number of runs of each body */
byte truth[TICKETS];       /* answer of the run under the ticket */
bit  ran[TICKETS];
bit  ranBody[TICKETS];
bit  denied[TICKETS * 2];  /* a caller received "not run" for this ticket and body */

#define BODY(a)   ((a) == ROGUE)
#define ISHOME(a) (at[a] == home[under[a]])
#ifdef FAULT_NONHOME_NOTRUN
#define PASSED(a) (!ISHOME(a) && !kept[a])
#else
#define PASSED(a) (!ISHOME(a)) /* forwarded at once, and may be delivered at any later time */
#endif
#define ALIVE(t)  (issuer[t] == incarnation[home[t]])

/* tell ends attempt a with outcome o. Callers receive outcomes only here, so the
 * properties of outcomes are asserted here. */
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
	reply[a] = NONE; /* last, because the arguments o and answer may refer to it */
	replyAnswer[a] = 0;
}

/* answerNow sends the home's reply to one attempt. A reply to an attempt that has
 * its outcome would be dropped on arrival, so none is sent; this only reduces the
 * number of states. */
inline answerNow(a, o, answer) {
	if
	:: told[a] == NONE ->
		reply[a] = o;
		replyAnswer[a] = answer
	:: else
	fi
}

/* settle replies with the same outcome to all attempts that wait for ticket t. */
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

/* arrive models Admit of the home: attempt a reached the home's address, for the
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
		:: state[t] == UNUSED -> /* refused for good: no room, no class or no body */
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

/* speak sends the closing of agent g. */
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

/* Ticket models the home's handling of ticket t. Each atomic step is one call of
 * the window, including the home's messages to its own tasks. */
proctype Ticket(byte t) {
	byte k = 0;
end:
	do
	:: atomic { state[t] == QUEUED -> /* a slot is free: start the request, or void it after its deadline */
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
	:: atomic { state[t] == QUEUED -> /* load shedding: voiding the ticket removes it from the queue */
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
	:: atomic { state[t] == RUNNING && late[t] -> /* deadline passed while running: the run may have taken effect */
		state[t] = SPENT;
		settle(t, UNKNOWN, 0)
	}
	:: atomic { state[t] == DONE || state[t] == VOIDED -> /* the window is bounded: the home drops the record */
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
	:: atomic { home[t] < AGENTS && state[t] == UNUSED -> /* the ticket fell below the low-water mark */
		state[t] = SPENT
	}
	od
}

/* Attempt models attempt a at the agent where it arrived, and its messages. */
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
		/* the home crashed, is unreachable or does not answer */
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
	:: atomic { waits[a] -> /* the caller cancelled, and the home receives the cancellation */
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
/* Stop shuts agent g down in good order; a crash may occur between its steps. */
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

/* Crash restarts agent g as a new incarnation, without memory. */
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
			:: at[k] == g -> gone[k] = 1 /* the connection to its caller broke */
			:: else
			fi
		};
		k = 0
	}
}

/* Upstream models the upstream beside the home of ticket t. */
proctype Upstream(byte t) {
end:
	do
	:: atomic { work[t] == ON_WIRE ->
		if
		:: work[t] = REFUSED
		:: work[t] = BROKEN /* nothing ran, but the agent cannot distinguish this from a crash during the run */
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

/* Clock makes the deadline of ticket t pass, at any time. */
proctype Clock(byte t) {
	late[t] = 1
}

/* Caller submits the request until it receives an outcome other than "not run", or
 * has used up its attempts or tickets. */
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
				select(g : 0 .. AGENTS - 1); /* issued by the agent that answered, which may be any */
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
		:: told[a] == NONE /* no answer: the connection broke, or the caller stopped waiting */
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

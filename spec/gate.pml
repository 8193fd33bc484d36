/*
 * gate: a call that may not be repeated runs at most once, and "not run" is true.
 *
 * Models internal/gatekeeper (Admit, Settle), internal/dispatcher (attempts) and internal/claimer (Claim, Move) for calls
 * with an Idempotency-Key. Two entries get the same key from one caller. Start messages may be lost or late; agents may
 * restart and forget their ledger at any step, with a new incarnation.
 *
 * Faults: FAULT_ADMIT (the gate admits an attempt twice), FAULT_BAR (settling does not rule the attempt out),
 * FAULT_INCARNATION (the gate admits attempts meant for another incarnation), FAULT_CLAIM (the claim is moved without
 * compare-and-swap), FAULT_REFUSE (an entry says "not run" without giving the claim up).
 */
#define TARGETS 2
#define MOVES 3
#define RESTARTS 1

#define NONE 0
#define ADMITTED 1
#define BARRED 2

byte claim;                    /* /claim/<hash>: 0 or the number of the attempt; only rises, as its revision does */
byte attempt;                  /* attempts ever claimed */
byte place[MOVES + 1];         /* target of each attempt */
byte meant[MOVES + 1];         /* incarnation that each attempt is meant for */
byte incarnation[TARGETS];
byte ledger[MOVES + 1];        /* what the present incarnation of the attempt's target knows */
byte runs;
byte refused;                  /* attempts up to this one were refused as "not run" */
byte restarts;

chan wire = [2] of { byte };   /* start messages, by attempt number */

inline execute(n) {
	runs++;
	assert(runs <= 1); /* at-most-once */
	assert(n > refused) /* true-refusal */
}

inline forget(t) {
	i = 1;
	do
	:: i > MOVES -> break
	:: else ->
		if
		:: place[i] == t -> ledger[i] = NONE
		:: else
		fi;
		i++
	od;
	i = 0
}

proctype Gate() {
	byte n, i;
	do
	:: atomic { wire?n ->
		if
#ifndef FAULT_INCARNATION
		:: meant[n] != incarnation[place[n]] -> skip /* Forgotten */
#endif
#ifdef FAULT_ADMIT
		:: meant[n] == incarnation[place[n]] && ledger[n] != BARRED -> ledger[n] = ADMITTED; execute(n)
#else
		:: (meant[n] == incarnation[place[n]]) && ledger[n] == NONE -> ledger[n] = ADMITTED; execute(n)
#ifdef FAULT_INCARNATION
		:: meant[n] != incarnation[place[n]] && ledger[n] == NONE -> ledger[n] = ADMITTED; execute(n)
#endif
#endif
		:: else -> skip
		fi }
	:: wire?n /* lost */
	/* A copy in the network, or a message sent twice by a broken connection. */
	:: atomic { nempty(wire) && nfull(wire) -> wire?n; wire!n; wire!n }
	:: atomic { restarts < RESTARTS -> restarts++; incarnation[0]++; forget(0) }
	:: atomic { restarts < RESTARTS -> restarts++; incarnation[1]++; forget(1) }
	od
}

/* begin claims the next attempt at a target and sends its start. */
inline begin(t) {
	attempt++;
	claim = attempt;
	place[attempt] = t;
	meant[attempt] = incarnation[t];
	ledger[attempt] = NONE;
	mine = attempt
}

proctype Entry() {
	byte seen, mine, state;
again:
	seen = claim;
	if
	:: seen == 0 ->
		atomic {
			if
			:: claim == 0 && attempt < MOVES -> begin(0)
			:: else -> goto stop
			fi
		};
		if
		:: wire!mine
		:: skip /* the entry's message is lost */
		fi;
		goto again
	:: else ->
		/* Settle the claimed attempt with its agent. */
		atomic {
			if
			:: meant[seen] != incarnation[place[seen]] -> goto stop /* unknown */
			:: meant[seen] == incarnation[place[seen]] && ledger[seen] == ADMITTED -> goto stop /* its outcome */
			:: else ->
#ifndef FAULT_BAR
				ledger[seen] = BARRED
#endif
			fi
		};
		/* Ruled out: move the claim to the other target, or give it up and refuse. */
		if
		:: skip; atomic {
			if
#ifdef FAULT_CLAIM
			:: attempt < MOVES -> begin(1 - place[seen])
#else
			:: claim == seen && attempt < MOVES -> begin(1 - place[seen])
#endif
			:: else -> goto stop /* unknown: another entry moved on */
			fi
		   };
		   if
		   :: wire!mine
		   :: skip
		   fi;
		   goto again
		:: skip; atomic {
#ifdef FAULT_REFUSE
			refused = attempt
#else
			if
			:: claim == seen -> claim = 0; refused = attempt
			:: else -> skip /* unknown */
			fi
#endif
		   }
		fi
	fi;
stop:	skip
}

init {
	atomic { run Gate(); run Entry(); run Entry() }
}

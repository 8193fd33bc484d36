/*
 * gate: a call that may run only once runs at most once, and a call that was refused as "not run" does not run.
 *
 * Models internal/gatekeeper (Admit, Settle), internal/dispatcher (attempts) and internal/claimer (Claim, Replace) for
 * calls with an Idempotency-Key. Two entries get the same key from one caller. Start messages may be lost, late or
 * duplicated; an agent may restart at any step, loses its ledger then and gets a new incarnation.
 *
 * Faults: FAULT_ADMIT (the gate admits an attempt twice), FAULT_BAR (settling does not rule the attempt out),
 * FAULT_INCARNATION (the gate admits attempts for another incarnation), FAULT_CLAIM (the claim is moved without
 * compare-and-swap), FAULT_REFUSE (an entry answers "not run" without giving the claim up).
 */
#define TARGETS 2
#define MOVES 3
#define RESTARTS 1

#define NONE 0
#define ADMITTED 1
#define BARRED 2

byte claim;                    /* /claim/<hash>: number of the claimed attempt, never used twice; 0: none */
byte attempt;                  /* number of attempts claimed so far */
byte target[MOVES + 1];        /* target of each attempt */
byte expected[MOVES + 1];      /* expected incarnation of the target of each attempt */
byte incarnation[TARGETS];
byte ledger[MOVES + 1];        /* state of each attempt in the ledger of its target's current incarnation */
byte runs;
byte refused;                  /* attempts up to this number were refused as "not run" */
byte restarts;

chan wire = [2] of { byte };   /* start messages, by attempt number */

inline execute(n) {
	runs++;
	assert(runs <= 1); /* at-most-once */
	assert(n > refused) /* true-refusal */
}

inline clearLedger(t) {
	i = 1;
	do
	:: i > MOVES -> break
	:: else ->
		if
		:: target[i] == t -> ledger[i] = NONE
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
		:: expected[n] != incarnation[target[n]] -> skip /* Forgotten */
#endif
#ifdef FAULT_ADMIT
		:: expected[n] == incarnation[target[n]] && ledger[n] != BARRED -> ledger[n] = ADMITTED; execute(n)
#else
		:: (expected[n] == incarnation[target[n]]) && ledger[n] == NONE -> ledger[n] = ADMITTED; execute(n)
#ifdef FAULT_INCARNATION
		:: expected[n] != incarnation[target[n]] && ledger[n] == NONE -> ledger[n] = ADMITTED; execute(n)
#endif
#endif
		:: else -> skip
		fi }
	:: wire?n /* lost */
	/* A message is duplicated in the network, or sent twice because a connection broke. */
	:: atomic { nempty(wire) && nfull(wire) -> wire?n; wire!n; wire!n }
	:: atomic { restarts < RESTARTS -> restarts++; incarnation[0]++; clearLedger(0) }
	:: atomic { restarts < RESTARTS -> restarts++; incarnation[1]++; clearLedger(1) }
	od
}

/* startAttempt claims the next attempt at a target. The caller sends its start message. */
inline startAttempt(t) {
	attempt++;
	claim = attempt;
	target[attempt] = t;
	expected[attempt] = incarnation[t];
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
			:: claim == 0 && attempt < MOVES -> startAttempt(0)
			:: else -> goto stop
			fi
		};
		if
		:: wire!mine
		:: skip /* the start message is lost */
		fi;
		goto again
	:: else ->
		/* Settle the claimed attempt with its agent. */
		atomic {
			if
			:: expected[seen] != incarnation[target[seen]] -> goto stop /* answer unknown */
			:: expected[seen] == incarnation[target[seen]] && ledger[seen] == ADMITTED -> goto stop /* answer its outcome */
			:: else ->
#ifndef FAULT_BAR
				ledger[seen] = BARRED
#endif
			fi
		};
		/* The attempt is ruled out: move the claim to the other target, or give it up and answer "not run". */
		if
		:: skip; atomic {
			if
#ifdef FAULT_CLAIM
			:: attempt < MOVES -> startAttempt(1 - target[seen])
#else
			:: claim == seen && attempt < MOVES -> startAttempt(1 - target[seen])
#endif
			:: else -> goto stop /* answer unknown: another entry moved the claim, or no attempts are left */
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
			:: else -> skip /* answer unknown */
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

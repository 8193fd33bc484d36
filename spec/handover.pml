/*
 * handover: each sample group of a training run is delivered once.
 *
 * Models internal/collector (Owner.Submit, Owner.Valid, Run: pull and acknowledge). Two owners follow each other at any step, the old one may
 * still answer. The store holds the submitted and the acknowledged groups. The trainer has one pull outstanding; each
 * pull has a rising number and says which groups the trainer holds. Answers may be lost or late.
 *
 * Faults: FAULT_PULL (the trainer takes answers to older pulls), FAULT_HAVE (the owner ignores what the trainer
 * says), FAULT_SUBMIT (a submission is acknowledged before it is stored), FAULT_CURSOR (an acknowledgement is
 * confirmed before the cursor is stored, and the trainer forgets the groups then), FAULT_TERM (an owner answers
 * although its term has ended).
 */
#define GROUPS 3 /* bits of two groups */
#define PULLS 4
#define CHANGES 2

byte stored;        /* /run/<id>/submit: groups that survive every process */
byte cursor;        /* /run/<id>/cursor: acknowledged groups */
byte submitted;     /* groups whose submission the trainer saw acknowledged */
byte have;          /* groups that the trainer holds and names in its pulls */
byte taken;         /* groups that the trainer has ever taken */
byte owner = 1;     /* the process with the lease; the old one may not know yet */
byte known[3];      /* groups that an owner's memory holds as submitted */
byte acked[3];      /* groups that an owner's memory holds as acknowledged */
bool fresh[3];      /* the owner has loaded the stored state in its present term */
byte changes;
byte pull;

chan asks = [1] of { byte, byte };          /* pull number, groups held */
chan answers = [2] of { byte, byte, byte }; /* pull number, delivered group, confirmed groups */

proctype Owner(byte me) {
	byte n, held, g;
again:
	do
	:: atomic { owner == me && !fresh[me] -> known[me] = stored; acked[me] = cursor; fresh[me] = true }
	/* Submit: stored before it is acknowledged. */
	:: atomic { owner == me && fresh[me] && submitted != GROUPS ->
#ifdef FAULT_SUBMIT
		known[me] = GROUPS; submitted = GROUPS };
	   atomic { owner == me -> stored = GROUPS }
#else
		stored = GROUPS };
	   atomic { known[me] = GROUPS; submitted = GROUPS }
#endif
	/*
	 * Pull: take over what the trainer holds, store the cursor, then answer. The lease may be lost at any step; an
	 * owner that finds it lost answers nothing, since another may have confirmed groups that it does not know of.
	 */
	:: atomic { fresh[me] && nempty(asks) ->
		asks?n, held;
#ifndef FAULT_HAVE
		acked[me] = acked[me] | held;
#endif
		skip
	   };
	   if
#ifdef FAULT_CURSOR
	   :: skip
#else
	   :: atomic { owner == me && fresh[me] -> cursor = cursor | acked[me] }
#ifdef FAULT_TERM
	   :: atomic { !(owner == me && fresh[me]) -> skip }
#else
	   :: atomic { !(owner == me && fresh[me]) -> goto again }
#endif
#endif
	   fi;
	   /* The process may be stopped here; the pull number protects against its late answer. */
	   atomic {
		g = known[me] & ~acked[me];
		if
		:: g & 1 -> g = 1
		:: !(g & 1) && (g & 2) -> g = 2
		:: else -> g = 0
		fi;
		if
		:: nfull(answers) -> answers!n, g, held
		:: full(answers) -> skip /* lost */
		fi
	   }
	od
}

proctype Lease() {
	do
	:: atomic { changes < CHANGES -> changes++; owner = 3 - owner; fresh[owner] = false }
	:: atomic { asks?_, _ }  /* a pull is lost */
	:: atomic { answers?_, _, _ } /* an answer is lost */
	od
}

proctype Trainer() {
	byte n, g, confirmed;
	do
	/* The trainer gives the last pull up and asks anew. */
	:: atomic { pull < PULLS && nfull(asks) -> pull++; asks!pull, have }
	:: atomic { answers?n, g, confirmed ->
#ifndef FAULT_PULL
		if
		:: n != pull -> g = 0; confirmed = 0
		:: else
		fi;
#endif
		/* One answer to each pull. */
		if
		:: g != 0 ->
			assert((taken & g) == 0); /* sample-once */
			taken = taken | g; have = have | g
		:: else
		fi;
		have = have & ~confirmed
	   }
	od
}

proctype Monitor() {
	/* sample-once: an acknowledged submission is never lost. */
	assert((submitted & ~(stored | known[owner])) == 0)
}

init {
	atomic { run Owner(1); run Owner(2); run Lease(); run Trainer(); run Monitor() }
}

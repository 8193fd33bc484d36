/*
 * handover: each sample group of a training run is delivered once.
 *
 * Models internal/collector (Owner.Submit, Owner.Valid, Owner.Pull, Owner.Acknowledge). The ownership may change between
 * two owners at any step, and the earlier owner may still answer. The store holds the submitted and the acknowledged
 * groups. The trainer has one pull outstanding; pulls are numbered in order, and each states which groups the trainer
 * holds. Answers may be lost or late.
 *
 * Faults: FAULT_PULL (the trainer accepts answers to older pulls), FAULT_HAVE (the owner ignores the trainer's
 * statement), FAULT_SUBMIT (a submission is acknowledged before it is stored), FAULT_CURSOR (an acknowledgement is
 * confirmed before the cursor is stored, and the trainer then drops the groups from its statement), FAULT_TERM (an owner
 * answers although its term has ended).
 */
#define GROUPS 3 /* bits of two groups */
#define PULLS 4
#define CHANGES 2

byte stored;        /* /run/<id>/submit: groups that survive every process */
byte cursor;        /* /run/<id>/cursor: acknowledged groups */
byte submitted;     /* groups whose submission was acknowledged to the trainer */
byte heldByTrainer; /* groups that the trainer holds and states in its pulls */
byte delivered;     /* groups that the trainer has received in any answer */
byte owner = 1;     /* the process with the lease; the earlier owner may not know yet that it has lost it */
byte known[3];      /* submitted groups in each owner's memory */
byte acked[3];      /* acknowledged groups in each owner's memory */
bool fresh[3];      /* the owner has loaded the stored state in its current term */
byte changes;       /* changes of the owner so far */
byte pull;

chan requests = [1] of { byte, byte };      /* pull number, groups held */
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
	 * Pull: add the groups that the trainer holds to the acknowledged ones, store the cursor, then answer. The lease may
	 * be lost at any step. An owner that has lost it does not answer, since the next owner may have confirmed groups that
	 * it does not know of.
	 */
	:: atomic { fresh[me] && nempty(requests) ->
		requests?n, held;
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
	   /* The process may be paused here; the pull number protects against its late answer. */
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
	:: atomic { requests?_, _ }  /* a pull is lost */
	:: atomic { answers?_, _, _ } /* an answer is lost */
	od
}

proctype Trainer() {
	byte n, g, confirmed;
	do
	/* The trainer gives up the last pull and sends another one. */
	:: atomic { pull < PULLS && nfull(requests) -> pull++; requests!pull, heldByTrainer }
	:: atomic { answers?n, g, confirmed ->
#ifndef FAULT_PULL
		if
		:: n != pull -> g = 0; confirmed = 0
		:: else
		fi;
#endif
		/* Each pull has at most one answer. */
		if
		:: g != 0 ->
			assert((delivered & g) == 0); /* sample-once */
			delivered = delivered | g; heldByTrainer = heldByTrainer | g
		:: else
		fi;
		heldByTrainer = heldByTrainer & ~confirmed
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

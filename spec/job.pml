/*
 * job: a batch job is kept once accepted, and a position that was read keeps its result.
 *
 * Models internal/conductor (Accept, observe, store, reassign) and internal/recorder (Create, Append, Replace). Two processes may
 * lead the job one after the other; each may be frozen at any step and go on later with what it knew. The store
 * executes a write whose answer is lost now, later or never, and each write is guarded. A result is the number of the
 * process that made it, so that two texts of one item differ. The trainer reads at either process or at the store.
 *
 * Faults: FAULT_EARLY (a submission is acknowledged before it is stored), FAULT_SHOW (results are readable before they
 * are stored), FAULT_RECORD (a write of results is not guarded by the record), FAULT_KEY (nor by the absence of its key),
 * FAULT_REFUSE (a submission whose write is unknown is answered as refused), FAULT_RESUME (a new owner does not load
 * the results that are there).
 */
#define POSITIONS 2
#define CHANGES 2

byte record;             /* revision of the record; 0: the job is not there */
byte owner;              /* the process that the record names */
byte stored[POSITIONS];  /* results in the store; 0: none */
byte seen[POSITIONS];    /* results that the trainer has read */
bool accepted;           /* the trainer got a 202 */
bool refused;            /* an answer said that nothing of the job runs */
bool unsure;             /* an answer said that the job may run */
bool ran;                /* an item ran */
byte changes;

/* What a process knows. */
byte known[3];           /* revision of the record that it leads the job by; 0: it does not lead */
byte listed[3];          /* number of results that it shows */
byte pending[3];         /* results that it has made and not stored */
byte shown[6];           /* its results, by process and position */

/* A write of results that is on its way: process, revision of the record, position, number of results. */
chan late = [1] of { byte, byte, byte, byte };
bool joint;              /* both results are in one value */
/* A creation that is on its way. */
chan create = [1] of { byte };

#define SHOWN(p, i) shown[((p) - 1) * POSITIONS + (i)]

/* append: the store executes a write of n results from a position on if its guards hold. They share one key. */
inline append(who, rev, at, n, done) {
	done = false;
	if
#ifdef FAULT_RECORD
	:: stored[at] == 0 -> done = true
#else
#ifdef FAULT_KEY
	:: record == rev -> done = true
#else
	:: record == rev && stored[at] == 0 -> done = true
#endif
#endif
	:: else
	fi;
	if
	:: done ->
		stored[at] = SHOWN(who, at);
		if
		:: n == 2 -> stored[1] = SHOWN(who, 1); joint = true
		/* A shorter value of the same key takes the place of the longer one. */
		:: n == 1 && at == 0 && joint -> stored[1] = 0; joint = false
		:: else
		fi
	:: else
	fi
}

/* lead: a process takes the job over as the record says, with the results that are there. */
inline lead(me) {
	known[me] = record; pending[me] = 0; listed[me] = 0;
#ifndef FAULT_RESUME
	if
	:: stored[0] != 0 -> SHOWN(me, 0) = stored[0]; listed[me] = 1;
		if
		:: stored[1] != 0 -> SHOWN(me, 1) = stored[1]; listed[me] = 2
		:: else
		fi
	:: else
	fi
#endif
}

proctype Process(byte me) {
	byte at, n;
	bool done;
	do
	/* Submission: the answer is lost or not, and the write is executed now, later or never. */
	:: atomic { record == 0 && !accepted && empty(create) ->
		if
		:: record = 1; owner = me; accepted = true
#ifdef FAULT_REFUSE
		:: record = 1; owner = me; refused = true /* the answer of the store is lost */
		:: create!me; refused = true
#else
		:: record = 1; owner = me; unsure = true /* the answer of the store is lost */
		:: create!me; unsure = true
#endif
#ifdef FAULT_EARLY
		:: accepted = true
#endif
		:: refused = true /* the store took nothing */
		fi }
	/* It learns that it leads the job, or that it does not. */
	:: atomic { record != 0 && owner == me && known[me] != record -> lead(me) }
	:: atomic { known[me] != 0 && owner != me -> known[me] = 0 }
	/* An item runs and has a result. */
	:: atomic { known[me] != 0 && listed[me] + pending[me] < POSITIONS ->
		ran = true; SHOWN(me, listed[me] + pending[me]) = me; pending[me]++ }
	/*
	 * Results are stored; the answer may be lost and the write executed later. A lost write is sent again, perhaps with
	 * more results. Whoever leads by the newest record finds there what it has made, or nothing.
	 */
	:: atomic { known[me] != 0 && pending[me] > 0 ->
		at = listed[me]; n = pending[me];
#ifdef FAULT_SHOW
		listed[me] = listed[me] + n; pending[me] = 0;
#endif
		if
		:: append(me, known[me], at, n, done);
			if
			:: done -> listed[me] = at + n; pending[me] = 0
			/* A beginning of the same results may be there from an earlier try. */
			:: !done && record == known[me] && stored[at] != 0 ->
				assert(stored[at] == SHOWN(me, at)); /* nobody else writes */
#ifndef FAULT_SHOW
				if
				:: n == 2 && joint -> listed[me] = at + 2; pending[me] = 0
				:: else -> listed[me] = at + 1; pending[me] = n - 1
				fi
#endif
			:: else
			fi
		:: append(me, known[me], at, n, done) /* the answer is lost */
		:: nfull(late) -> late!me, known[me], at, n
		fi;
		at = 0; n = 0 }
	od
}

/* The store executes late writes, and another process takes the job over. */
proctype Store() {
	byte rev, at, n, who;
	bool done;
	do
	:: atomic { late?who, rev, at, n -> append(who, rev, at, n, done) }
	:: atomic { create?who ->
		if
		:: record == 0 -> record = 1; owner = who
		:: else
		fi }
	:: atomic { late?who, rev, at, n } /* never executed */
	:: atomic { create?who }
	:: atomic { record != 0 && changes < CHANGES -> changes++; record++; owner = 3 - owner }
	od
}

/* The trainer reads a position at a process or at the store. */
proctype Trainer() {
	byte p, i, got;
	do
	:: atomic {
		select(p : 0 .. 2); select(i : 0 .. 1);
		got = 0;
		if
		:: p == 0 -> got = stored[i]
		:: p != 0 && known[p] != 0 && i < listed[p] -> got = SHOWN(p, i)
		:: else
		fi;
		if
		:: got != 0 ->
			assert(seen[i] == 0 || seen[i] == got); /* a position keeps its result */
			seen[i] = got;
			assert(stored[i] == got) /* what was read is durable */
		:: else
		fi;
		got = 0; p = 0; i = 0
	   }
	od
}

proctype Monitor() {
	do
	:: atomic { accepted -> assert(record != 0); break } /* an accepted job is kept */
	:: atomic { ran && refused -> assert(accepted || unsure); break } /* a job that was refused each time does not run */
	od
}

init {
	atomic { run Process(1); run Process(2); run Store(); run Trainer(); run Monitor() }
}

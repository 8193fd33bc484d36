/*
 * job: an accepted batch job is not lost, and a position that was read keeps its result.
 *
 * Models internal/conductor (Accept, applyRecord, storeResults, reassign) and internal/recorder (Create, Append, Replace).
 * Two processes lead the job in turn; each may be paused at any step and continue later with outdated state. The store
 * applies a write whose answer is lost at once, later or never, and each write is guarded. A result is modelled as the
 * number of the process that generated it, so that two texts of one item differ. The trainer reads at either process or
 * at the store.
 *
 * Faults: FAULT_EARLY (a submission is acknowledged before it is stored), FAULT_SHOW (results are readable before they
 * are stored), FAULT_RECORD (a write of results is not guarded by the revision of the record), FAULT_KEY (a write of
 * results is not guarded by the absence of its key), FAULT_REFUSE (a submission whose write has an unknown outcome is
 * answered as refused), FAULT_RESUME (a new owner does not load the stored results).
 */
#define POSITIONS 2
#define CHANGES 2

byte record;             /* revision of the record; 0: the job does not exist */
byte owner;              /* owner in the record */
byte stored[POSITIONS];  /* results in the store; 0: none */
byte seen[POSITIONS];    /* results that the trainer has read */
bool accepted;           /* the trainer got a 202 */
bool refused;            /* an answer said that the job does not run */
bool unknown;            /* an answer said that the job may run */
bool ran;                /* an item ran */
byte changes;            /* changes of the owner so far */

/* State in the memory of each process. */
byte known[3];           /* revision of the record under which it leads the job; 0: it does not lead */
byte listed[3];          /* number of results that it returns to readers */
byte pending[3];         /* number of results that it has generated but not stored */
byte shown[6];           /* results, by process and position */

/* A delayed write of results: process, revision of the record, position, number of results. */
chan late = [1] of { byte, byte, byte, byte };
bool oneValue;           /* both results are stored in one value */
/* A delayed write that creates the job: process. */
chan create = [1] of { byte };

#define SHOWN(p, i) shown[((p) - 1) * POSITIONS + (i)]

/* append: the store applies a write of n results, starting at a position, if its guards hold. They share one key. */
inline append(process, rev, at, n, done) {
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
		stored[at] = SHOWN(process, at);
		if
		:: n == 2 -> stored[1] = SHOWN(process, 1); oneValue = true
		/* A shorter value of the same key replaces the longer one. */
		:: n == 1 && at == 0 && oneValue -> stored[1] = 0; oneValue = false
		:: else
		fi
	:: else
	fi
}

/* lead: a process takes over the job under the current record and loads the stored results. */
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
	/* Submission: the write is applied at once, later or never, and its answer may be lost. */
	:: atomic { record == 0 && !accepted && empty(create) ->
		if
		:: record = 1; owner = me; accepted = true
#ifdef FAULT_REFUSE
		:: record = 1; owner = me; refused = true /* the answer of the store is lost */
		:: create!me; refused = true
#else
		:: record = 1; owner = me; unknown = true /* the answer of the store is lost */
		:: create!me; unknown = true
#endif
#ifdef FAULT_EARLY
		:: accepted = true
#endif
		:: refused = true /* the write was not applied */
		fi }
	/* The process learns that it leads the job, or that it no longer does. */
	:: atomic { record != 0 && owner == me && known[me] != record -> lead(me) }
	:: atomic { known[me] != 0 && owner != me -> known[me] = 0 }
	/* An item runs and produces a result. */
	:: atomic { known[me] != 0 && listed[me] + pending[me] < POSITIONS ->
		ran = true; SHOWN(me, listed[me] + pending[me]) = me; pending[me]++ }
	/*
	 * Results are stored; the answer may be lost and the write applied later. A write without an answer is sent again,
	 * perhaps with more results. The process that leads under the current record finds its own results there, or none.
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
			/* An earlier attempt may have stored the first of these results. */
			:: !done && record == known[me] && stored[at] != 0 ->
				assert(stored[at] == SHOWN(me, at)); /* no other process writes */
#ifndef FAULT_SHOW
				if
				:: n == 2 && oneValue -> listed[me] = at + 2; pending[me] = 0
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

/* The store applies delayed writes, and the record may change to the other owner. */
proctype Store() {
	byte rev, at, n, process;
	bool done;
	do
	:: atomic { late?process, rev, at, n -> append(process, rev, at, n, done) }
	:: atomic { create?process ->
		if
		:: record == 0 -> record = 1; owner = process
		:: else
		fi }
	:: atomic { late?process, rev, at, n } /* never applied */
	:: atomic { create?process }
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
			assert(stored[i] == got) /* a result that was read is stored */
		:: else
		fi;
		got = 0; p = 0; i = 0
	   }
	od
}

proctype Monitor() {
	do
	:: atomic { accepted -> assert(record != 0); break } /* an accepted job is not lost */
	:: atomic { ran && refused -> assert(accepted || unknown); break } /* a job that was refused each time does not run */
	od
}

init {
	atomic { run Process(1); run Process(2); run Store(); run Trainer(); run Monitor() }
}

/*
 * report: one report per team and window, with frozen figures.
 *
 * Models internal/reporter (Reporter.report, deliver, valid) under the duty of internal/leaser. Two reporters follow one window;
 * usage may still arrive late; answers may be lost; a reporter may die and start anew at any step. The intake takes
 * whatever reaches it and does not check fencing numbers.
 *
 * Faults: FAULT_SEAL (send figures that were not sealed), FAULT_SWAP (seal without compare-and-swap), FAULT_LATE
 * (late usage changes a sealed window), FAULT_DEADLINE (send after the term has ended).
 */
#define LATE 2

byte usage = 1;       /* what the meters have counted for the window */
byte late;            /* usage that came after the seal; it goes to the next window as a correction */
byte sealed;          /* /window/<team>/<n>: 0 or the frozen figure */
bool confirmed;
byte holder;
bool valid[3];
byte reported;        /* figure of the first report that arrived */
byte sender;          /* term of the newest report that arrived */
byte term[3], fence;
chan wire[3] = [1] of { byte, byte };

proctype Reporter(byte me) {
	byte figure;
	byte t;
	do
	:: atomic { !valid[me] && holder == 0 && fence < 3 ->
		fence++; holder = me; term[me] = fence; valid[me] = true }
	/* seal: read the meters, then write by compare-and-swap. */
	:: atomic { valid[me] && sealed == 0 -> figure = usage };
	   atomic {
		if
#ifdef FAULT_SWAP
		:: sealed = figure
#else
		:: sealed == 0 -> sealed = figure
		:: sealed != 0 -> skip /* conflict */
#endif
		fi
	   }
	/* send: the sealed bytes, checked against the term at the last point. */
#ifdef FAULT_SEAL
	:: atomic { valid[me] && !confirmed -> figure = usage; t = term[me] };
#else
	:: atomic { valid[me] && sealed != 0 && !confirmed -> figure = sealed; t = term[me] };
#endif
	   /* The process may be stopped here. */
	   if
#ifdef FAULT_DEADLINE
	   :: atomic { nfull(wire[me]) -> wire[me]!figure, t }
#else
	   :: atomic { valid[me] && term[me] == t && nfull(wire[me]) -> wire[me]!figure, t }
	   :: atomic { !(valid[me] && term[me] == t) -> skip }
#endif
	   fi
	/* confirm: only after the intake has answered; a lost answer leaves it open. */
	:: atomic { valid[me] && reported != 0 && !confirmed -> confirmed = true }
	od
}

proctype Meter() {
	byte n;
	do
	:: n < LATE -> n++;
	   atomic {
		if
		:: sealed == 0 -> usage++
		:: sealed != 0 ->
#ifdef FAULT_LATE
			usage++; sealed = usage
#else
			late++
#endif
		fi
	   }
	:: n == LATE -> break
	od
}

inline arrive(f, t) {
	assert(reported == 0 || f == reported); /* one-report: the same figures each time */
	assert(t >= sender); /* one-report: never from two that both believe they are in charge */
	reported = f;
	sender = t
}

proctype Intake() {
	byte f, t;
	do
	:: atomic { wire[1]?f, t -> arrive(f, t) }
	:: atomic { wire[2]?f, t -> arrive(f, t) }
	:: wire[1]?f, t /* lost on its way */
	:: wire[2]?f, t
	od
}

proctype Clock() {
	do
	/* A term ends at any moment: its holder died, was stopped or could not renew. */
	:: atomic { valid[1] -> valid[1] = false }
	:: atomic { valid[2] -> valid[2] = false }
	/* The lease lapses after the term and after the longest life of a message. */
	:: atomic { holder != 0 && !valid[holder] && empty(wire[holder]) -> holder = 0 }
	od
}

init {
	atomic { run Reporter(1); run Reporter(2); run Meter(); run Intake(); run Clock() }
}

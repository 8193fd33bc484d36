/*
 * report: one report per team and window, whose figures no longer change once they are sealed.
 *
 * Models internal/reporter (Reporter.reportWindow, deliver, currentTerm) under the duty of internal/leaser. Two reporters
 * report one window; usage may arrive late; answers may be lost; a reporter may lose its term at any step. The receiver
 * accepts every report and does not check fencing numbers.
 *
 * Faults: FAULT_SEAL (send figures that were not sealed), FAULT_SWAP (seal without compare-and-swap), FAULT_LATE
 * (late usage changes a sealed window), FAULT_DEADLINE (send after the term has ended).
 */
#define LATE 2

byte usage = 1;       /* usage that the meters have counted for the window */
byte late;            /* usage that came after the seal; the next window reports it as a correction */
byte sealed;          /* /window/<team>/<n>: the sealed figure; 0: none */
bool confirmed;
byte holder;
bool valid[3];
byte reported;        /* figure of the last report that arrived */
byte sender;          /* term of the last report that arrived */
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
	/* send: the sealed figure, if the term is still valid immediately before the send. */
#ifdef FAULT_SEAL
	:: atomic { valid[me] && !confirmed -> figure = usage; t = term[me] };
#else
	:: atomic { valid[me] && sealed != 0 && !confirmed -> figure = sealed; t = term[me] };
#endif
	   /* The process may be paused here. */
	   if
#ifdef FAULT_DEADLINE
	   :: atomic { nfull(wire[me]) -> wire[me]!figure, t }
#else
	   :: atomic { valid[me] && term[me] == t && nfull(wire[me]) -> wire[me]!figure, t }
	   :: atomic { !(valid[me] && term[me] == t) -> skip }
#endif
	   fi
	/* confirm: only after the receiver has answered; after a lost answer the report is sent again. */
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

inline receiveReport(f, t) {
	assert(reported == 0 || f == reported); /* one-report: the same figures each time */
	assert(t >= sender); /* one-report: no report of an earlier term after one of a later term */
	reported = f;
	sender = t
}

proctype Receiver() {
	byte f, t;
	do
	:: atomic { wire[1]?f, t -> receiveReport(f, t) }
	:: atomic { wire[2]?f, t -> receiveReport(f, t) }
	:: wire[1]?f, t /* lost in the network */
	:: wire[2]?f, t
	od
}

proctype Clock() {
	do
	/* A term may end at any moment: its holder crashed, was paused or could not renew the lease. */
	:: atomic { valid[1] -> valid[1] = false }
	:: atomic { valid[2] -> valid[2] = false }
	/* The lease expires after the term and after the longest time that a message stays in the network. */
	:: atomic { holder != 0 && !valid[holder] && empty(wire[holder]) -> holder = 0 }
	od
}

init {
	atomic { run Reporter(1); run Reporter(2); run Meter(); run Receiver(); run Clock() }
}

/*
 * lease: one holder per duty, orders fenced by number or by time.
 *
 * Models internal/leaser (acquire, serve, renew, release) and internal/orderer (check, send). Time is abstract: the
 * term of a holder ends at any moment (Clock), and the lease lapses only after that (the margin of the TTL). A process
 * may stop for any time between two of its steps.
 *
 * Build with -DFENCED for receivers that refuse old fencing numbers, without it for receivers that ignore them.
 * Faults: FAULT_FENCE, FAULT_GRACE, FAULT_DEADLINE, FAULT_MARGIN, FAULT_BLIND.
 */
#define NODES 2
#define TERMS 4

byte fence;               /* /fence/<duty>: the last term's number */
byte holder;              /* /duty/<duty>: 0 or the holder */
bool outage;              /* the key-value service does not answer */
bool valid[NODES + 1];    /* before safe-until on the holder's monotonic clock */
bool settled[NODES + 1];  /* after the grace period of the term */
byte term[NODES + 1];     /* the fencing number that the node works under */
byte accepted;            /* largest number among the orders that took effect */
chan wire[NODES + 1] = [1] of { byte };

inline commit(me) {
	/* Leaser.acquire: one transaction; its answer may be lost after it took effect. */
	holder == 0 && fence < TERMS ->
	fence++;
	holder = me;
	if
	:: valid[me] = true; term[me] = fence; settled[me] = false
	:: skip /* answer lost: the lease is left to lapse */
#ifdef FAULT_BLIND
	:: holder = me; valid[me] = true; term[me] = fence; settled[me] = true
#endif
	fi
}

inline take(f) {
#if defined(FENCED) && !defined(FAULT_FENCE)
	if
	:: f < accepted -> skip /* refused: an old number */
	:: else -> assert(f >= accepted); accepted = f /* one-orderer */
	fi
#else
	assert(f >= accepted); /* one-orderer */
	accepted = f
#endif
}

proctype Node(byte me) {
	byte t;
	do
	:: atomic { !valid[me] && !outage -> if :: commit(me) :: else -> skip fi }
#ifdef FAULT_BLIND
	/* A second write that does not look at what came between. */
	:: atomic { !valid[me] && !outage && holder != me && holder != 0 && fence < TERMS ->
		holder = me; valid[me] = true; term[me] = fence; settled[me] = true }
#endif
#ifdef FENCED
	:: atomic { valid[me] -> t = term[me] }
	   /* The process may be stopped here for longer than the lease. */
	   atomic { nfull(wire[me]) -> wire[me]!t }
#else
#ifdef FAULT_GRACE
	:: atomic { valid[me] -> t = term[me] }
#else
	:: atomic { valid[me] && settled[me] -> t = term[me] }
#endif
	   /* The process may be stopped here; the socket's deadline is the term's safe-until. */
#ifdef FAULT_DEADLINE
	   atomic { nfull(wire[me]) -> wire[me]!t }
#else
	   if
	   :: atomic { valid[me] && term[me] == t && nfull(wire[me]) -> wire[me]!t }
	   :: atomic { !(valid[me] && term[me] == t) -> skip }
	   fi
#endif
#endif
	od
}

/* Platform receives the orders: the platform itself or an engine behind its agent. */
proctype Platform() {
	byte f;
	do
	:: atomic { wire[1]?f -> take(f) }
	:: atomic { wire[2]?f -> take(f) }
	:: wire[1]?f /* the order expires on its way */
	:: wire[2]?f
	od
}

proctype Clock() {
	byte i;
	do
	:: i = 1
	:: i = 2
	:: atomic { i > 0 && valid[i] -> valid[i] = false }
#ifdef FAULT_MARGIN
	:: atomic { i > 0 && holder == i -> holder = 0 }
#else
	:: atomic { i > 0 && holder == i && !valid[i] -> holder = 0 }
#endif
	/* The grace period is longer than an order can live on the wire. */
	:: atomic { i > 0 && valid[i] && !settled[i] && empty(wire[3 - i]) -> settled[i] = true }
	:: outage = !outage
	od
}

proctype Monitor() {
	/* one-orderer: no two processes believe that they hold the duty. */
	assert(!(valid[1] && valid[2]))
}

init {
	atomic {
		run Node(1); run Node(2); run Platform(); run Clock(); run Monitor()
	}
}

/*
 * lease: each duty has at most one holder. Old orders are refused by fencing number or avoided by a grace period.
 *
 * Models internal/leaser (acquire, holdTerm, renew, revokeLease) and internal/orderer (currentTerm, send). Time is
 * abstract: the term of a holder ends at any moment (Clock), and the lease expires only after that, because of the
 * margin of the TTL. A process may be paused for any time between two of its steps.
 *
 * Build with -DFENCED for receivers that refuse old fencing numbers, without it for receivers that ignore them.
 *
 * Faults: FAULT_FENCE (the receiver accepts old fencing numbers), FAULT_GRACE (no grace period before the first order),
 * FAULT_DEADLINE (orders are sent after the term has ended), FAULT_MARGIN (the lease may expire before the term ends),
 * FAULT_BLIND (a second write of the holder without a guard).
 */
#define NODES 2
#define TERMS 4

byte fence;               /* /fence/<duty>: the last term's number */
byte holder;              /* /duty/<duty>: the holder; 0: none */
bool outage;              /* the key-value service does not answer */
bool valid[NODES + 1];    /* the term is valid by the holder's monotonic clock */
bool settled[NODES + 1];  /* the grace period of the term is over */
byte term[NODES + 1];     /* the fencing number of the node's last term */
byte accepted;            /* largest fencing number among the orders that took effect */
chan wire[NODES + 1] = [1] of { byte };

inline commit(me) {
	/* Leaser.acquire: one transaction; its answer may be lost after it took effect. */
	holder == 0 && fence < TERMS ->
	fence++;
	holder = me;
	if
	:: valid[me] = true; term[me] = fence; settled[me] = false
	:: skip /* the answer is lost; the lease expires unused */
#ifdef FAULT_BLIND
	:: holder = me; valid[me] = true; term[me] = fence; settled[me] = true
#endif
	fi
}

inline receiveOrder(f) {
#if defined(FENCED) && !defined(FAULT_FENCE)
	if
	:: f < accepted -> skip /* refused: old fencing number */
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
	/* A second write that does not check whether the duty has a new holder. */
	:: atomic { !valid[me] && !outage && holder != me && holder != 0 && fence < TERMS ->
		holder = me; valid[me] = true; term[me] = fence; settled[me] = true }
#endif
#ifdef FENCED
	:: atomic { valid[me] -> t = term[me] }
	   /* The process may be paused here for longer than the lease. */
	   atomic { nfull(wire[me]) -> wire[me]!t }
#else
#ifdef FAULT_GRACE
	:: atomic { valid[me] -> t = term[me] }
#else
	:: atomic { valid[me] && settled[me] -> t = term[me] }
#endif
	   /* The process may be paused here; the socket's deadline is the end of the term. */
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

/* Platform is the receiver of the orders: the platform itself or an engine behind its agent. */
proctype Platform() {
	byte f;
	do
	:: atomic { wire[1]?f -> receiveOrder(f) }
	:: atomic { wire[2]?f -> receiveOrder(f) }
	:: wire[1]?f /* the order expires in the network */
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
	/* The grace period is longer than an order can stay in the network. */
	:: atomic { i > 0 && valid[i] && !settled[i] && empty(wire[3 - i]) -> settled[i] = true }
	:: outage = !outage
	od
}

proctype Monitor() {
	/* one-orderer: at most one process considers itself the holder. */
	assert(!(valid[1] && valid[2]))
}

init {
	atomic {
		run Node(1); run Node(2); run Platform(); run Clock(); run Monitor()
	}
}

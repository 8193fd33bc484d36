/*
 * config: two concurrent operators edit the configuration; a relay distributes it to a node that restarts.
 *
 * Models internal/publisher (Edit), internal/configurator (Propose, Adopt) and internal/distributor (Relay.Offer, Merge,
 * MarkFresh). Each operator's edit sets one bit of the document. The answer to a write may be lost after the write took
 * effect; the operator then reads the document to find out. The relay may lag, and the leaf may restart without a copy.
 * A restarted node serves only after a sync that has read the store since the restart.
 *
 * Faults: FAULT_BASE (write without guard), FAULT_BLIND (write again after a lost answer), FAULT_REVISION (adopt any
 * revision), FAULT_FRESH (serve a peer's copy after a restart without proof of freshness).
 */
#define OPERATORS 2
#define RESTARTS 2

byte storeRev;      /* /config/doc */
byte storeBits;
byte accepted;      /* bits of the edits that were answered as accepted */
byte served;        /* last revision that the leaf has served */
byte relayRev, relayBits;
byte leafRev, leafBits;
bool leafReady;
byte restarts;

inline write(rev, bits) {
	storeRev = rev;
	storeBits = bits
}

/* Publisher.Edit: read, propose, compare-and-swap; after a lost answer, read again. */
proctype Operator(byte mine) {
	byte base, bits;
	bool done;
	do
	:: done -> break
	:: else ->
		atomic { base = storeRev; bits = storeBits | mine }
		if
#ifdef FAULT_BASE
		:: atomic { write(base + 1, bits) -> accepted = accepted | mine; done = true }
#else
		:: atomic { storeRev == base -> write(base + 1, bits); accepted = accepted | mine; done = true }
		:: atomic { storeRev != base -> skip } /* conflict: the operator sees the difference and edits again */
		/* The answer is lost after the write took effect; reading the document finds this edit. */
		:: atomic { storeRev == base -> write(base + 1, bits) };
#ifdef FAULT_BLIND
		   atomic { write(base + 1, bits); accepted = accepted | mine; done = true }
#else
		   atomic {
			if
			:: storeBits & mine -> accepted = accepted | mine
			:: else -> assert(false) /* an applied write can't vanish */
			fi;
			done = true
		   }
#endif
#endif
		fi
	od
}

inline adopt(rev, bits, ownRev, ownBits) {
#ifdef FAULT_REVISION
	ownRev = rev; ownBits = bits
#else
	if
	:: rev > ownRev -> ownRev = rev; ownBits = bits
	:: else -> skip
	fi
#endif
}

/* Relay polls the store at arbitrary times. */
proctype Relay() {
	byte rev, bits;
	do
	:: atomic { rev = storeRev; bits = storeBits };
	   /* The answer may be outdated when it arrives. */
	   atomic { adopt(rev, bits, relayRev, relayBits) }
	od
}

/* Leaf polls the relay or, as a last resort, the store. */
proctype Leaf() {
	byte rev, bits;
	do
	:: atomic { leafReady -> rev = relayRev; bits = relayBits };
	   atomic { adopt(rev, bits, leafRev, leafBits) }
	:: atomic { leafReady -> rev = storeRev; bits = storeBits };
	   atomic { adopt(rev, bits, leafRev, leafBits) }
	/* After a restart: a sync that reads the store, directly or through the relay. */
	:: atomic { !leafReady ->
#ifdef FAULT_FRESH
		rev = relayRev; bits = relayBits;
#else
		rev = storeRev; bits = storeBits;
#endif
		adopt(rev, bits, leafRev, leafBits); leafReady = true }
	:: atomic { leafReady ->
		assert(leafRev >= served); /* config-sticks */
		served = leafRev }
	:: atomic { leafReady && restarts < RESTARTS -> restarts++; leafReady = false; leafRev = 0; leafBits = 0 }
	od
}

proctype Monitor() {
	/* config-sticks: every accepted edit is in the stored document. */
	assert((accepted & ~storeBits) == 0)
}

init {
	atomic { run Operator(1); run Operator(2); run Relay(); run Leaf(); run Monitor() }
}

/*
 * Load and unload orders to one engine, conditional on the number of orders that
 * the engine has accepted.
 *
 * Guards against late, reordered and retransmitted orders, and orders of a former
 * owner, that make the engine load more adapters than it has slots for.
 *
 * Two owners send orders concurrently: the current owner, and a former owner that
 * resumes after a pause. Orders can be delivered late, in any order and after
 * their sender has retransmitted them; answers can be lost. The engine does not
 * check epochs.
 *
 * Asserted: the engine is never told to load an adapter beyond its slots.
 *
 * Bounds: 3 adapters, 2 slots, SENDS orders per owner, NETWORK orders in flight.
 *
 * Broken variants:
 *   WITHOUT_EXPECTED   the engine does not compare the order's expected number
 *                      with its own
 *   UNANSWERED_UNLOAD  an owner assumes that an unload without an answer was done
 *
 * Known limit of the protocol: with RESTART the engine restarts once, empty and
 * under the same id, and its number starts from 0 again. Late orders to the
 * former process can then raise it to the number that an owner expects, and the
 * assertion fails. That takes as many late orders as the former process had
 * accepted.
 */
#define ADAPTERS 3
#define SLOTS 2
#define SENDS 3
#define NETWORK 3

#define accepted_order 0
#define holds 1
#define conflict 2

#define one(a) (1 << (a))
#define count(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

byte sequence = 0; /* number of orders that the engine has accepted */
byte held = 0;     /* bit set of adapters that the engine has loaded */

chan orders = [NETWORK] of { byte, bit, byte, byte, byte };
chan answers[2] = [2] of { byte, byte };

proctype Engine() {
	byte owner, adapter, expected, tag, outcome;
	bit unload;
#ifdef RESTART
	bit restarted = 0;
#endif
end:
	do
	:: atomic {
		orders?owner, unload, adapter, expected, tag ->
		if
		:: !unload && (held & one(adapter)) -> outcome = holds
		:: unload && !(held & one(adapter)) -> outcome = holds
		:: else ->
			outcome = conflict;
			if
#ifdef WITHOUT_EXPECTED
			:: true ->
#else
			:: expected == sequence ->
#endif
				outcome = accepted_order;
				sequence++;
				if
				:: unload -> held = held & ~one(adapter)
				:: !unload ->
					assert(count(held) < SLOTS);
					held = held | one(adapter)
				fi
			:: else -> skip
			fi
		fi;
		if
		:: nfull(answers[owner]) -> answers[owner]!outcome, tag
		:: true -> skip /* The answer is lost. */
		fi;
		outcome = 0; owner = 0; adapter = 0; expected = 0; tag = 0; unload = 0
	}
	:: atomic { /* Reordering: a later order overtakes the first one. */
		len(orders) > 1 && nfull(orders) ->
		orders?owner, unload, adapter, expected, tag;
		orders!owner, unload, adapter, expected, tag;
		owner = 0; adapter = 0; expected = 0; tag = 0; unload = 0
	}
#ifdef RESTART
	:: atomic { !restarted -> restarted = 1; sequence = 0; held = 0 }
#endif
	od
}

proctype Owner(byte self) {
	byte sends = 0, number = 0, believed = 0, adapter = 0, outcome = 0, tag = 0;
	bit known = 0, unload = 0, waiting = 0;
end:
	do
	:: atomic { !known && !waiting -> /* Reads the engine's report. */
		number = sequence; believed = held; known = 1
	}
	:: atomic { known && !waiting && sends < SENDS && nfull(orders) ->
		select(adapter : 0 .. 2);
		if
		:: !(believed & one(adapter)) && count(believed) < SLOTS -> unload = 0
		:: believed & one(adapter) -> unload = 1
		:: else -> goto end
		fi;
		sends++;
		waiting = 1;
		orders!self, unload, adapter, number, sends
	}
	:: atomic { waiting && nempty(answers[self]) ->
		answers[self]?outcome, tag;
		if
		:: tag != sends -> skip /* An answer to an earlier transmission of the order. */
		:: else ->
			waiting = 0;
			if
			:: outcome == conflict -> known = 0
			:: else ->
				if
				:: outcome == accepted_order -> number++
				:: else -> skip
				fi;
				if
				:: unload -> believed = believed & ~one(adapter)
				:: else -> believed = believed | one(adapter)
				fi
			fi
		fi;
		outcome = 0; tag = 0
	}
	:: atomic { waiting && sends < SENDS && nfull(orders) -> /* Timeout without an answer. */
#ifdef UNANSWERED_UNLOAD
		if
		:: unload -> believed = believed & ~one(adapter); waiting = 0
		:: else -> sends++; orders!self, unload, adapter, number, sends
		fi
#else
		sends++;
		orders!self, unload, adapter, number, sends
#endif
	}
	od
}

init {
	atomic {
		run Engine();
		run Owner(0);
		run Owner(1)
	}
}

/* Orders to one engine by the number of orders that it has accepted.
 *
 * Two owners give orders at the same time: the present one, and one that was
 * paused and woke late. Orders can be delivered late, in any order and after
 * their sender has given them again; answers can be lost. The engine does not
 * check epochs.
 *
 * Holds: the engine is never told to load an adapter beyond its slots.
 *
 * Bounds: 3 adapters, 2 slots, SENDS orders of each owner, NETWORK orders on
 * their way.
 *
 * Broken variants: WITHOUT_EXPECTED (the engine does not compare the number),
 * UNANSWERED_UNLOAD (an owner takes an unload without an answer for done).
 *
 * Limit of the protocol: with RESTART the engine restarts once, empty and under
 * the same id, and its number begins anew. Late orders to the process before can
 * then bring it to the number that an owner expects, so that the promise does not
 * hold. It takes as many late orders as the process before had accepted.
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

byte sequence = 0;
byte held = 0;

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
	:: atomic { /* A later order overtakes the first one. */
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
	:: atomic { !known && !waiting -> /* The engine's report. */
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
		:: tag != sends -> skip /* The answer to an earlier sending of the order. */
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
	:: atomic { waiting && sends < SENDS && nfull(orders) -> /* No answer in time. */
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

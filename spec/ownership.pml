/*
 * Ownership of one engine by two owners, one after the other, and one holder of
 * their grants (docs/design.md, section 6.3).
 *
 * Guards against a take-over in which an instance is unloaded while a request may
 * use it, or in which a request runs on the wrong adapter.
 *
 * Bounds: one engine with SLOTS slots and ADAPTERS adapters; owner 0 has epoch 1
 * and owner 1 has epoch 2; one order of each owner in flight; one holder that
 * makes REQUESTS requests, one after the other.
 *
 * Variants that hold:
 *   (none)           the engine refuses old fencing numbers; 1 slot, 2 requests
 *   FENCING_IGNORED  the engine ignores them; 1 slot, 2 requests
 *   TWO_SLOTS        either kind of engine; 2 slots, 1 request
 *
 * Time is abstract. The lease of owner 0 can end at any moment, also between its
 * check and the sending of an order (a paused owner), and an order can stay in
 * flight for any time (a late order). Owner 0 goes on granting instances without
 * a lease (isolated service) until any moment after the take-over. The grant
 * limit passes only when the holder has no grant of owner 0, because a holder
 * ends its requests when their grants end. Owner 0 can end at any moment, or
 * never. Planned hand-overs, engine restarts and the canceling of requests whose
 * grants ended are not modeled.
 *
 * Asserted: no instance is unloaded while the holder has a grant on it, whether
 * the request is running or has yet to start; a request runs on no adapter but
 * its own.
 *
 * Broken variants:
 *   PLAIN_NAMES    instance names have no epoch, the engine ignores fencing
 *                  numbers, and owner 1 relies on the lease alone
 *   NO_HOLDINGS    owner 1 does not ask the holder for its grants and does not
 *                  wait for the grant limit
 *   EVICT_GRANTED  an owner evicts instances that it has granted
 */
#define ADAPTERS 2

#ifdef TWO_SLOTS
#define SLOTS 2
#define REQUESTS 1
#else
#define SLOTS 1
#define REQUESTS 2
#endif

#ifdef PLAIN_NAMES
#define FENCING_IGNORED
#define NAMES ADAPTERS
#define NAME(a, o) (a)
#else
#define NAMES 4
#define NAME(a, o) ((o) * ADAPTERS + (a))
#endif

#ifdef EVICT_GRANTED
#define FREE(n) true
#else
#define FREE(n) (pins[n] == 0)
#endif

#define NONE NAMES

mtype = { LOAD, UNLOAD, FENCE };

bool enforced;
bool lapsed;       /* the lease of owner 0 has expired */
bool taken;        /* owner 1 has the lease */
bool isolatedOver; /* the isolated service of owner 0 has ended: no new grants */
bool grantsOver;   /* the grant limit has passed since the last grant of owner 0 */
bool dead;         /* the process of owner 0 has ended */

bool loaded[NAMES];
byte count;
byte fence;        /* fencing number of the last order that was not refused; 0 at first */
byte held[NAMES];  /* grants that the holder uses, by instance */
byte old = NONE;   /* instance that owner 0 granted to the holder; NONE without one */
bool asked;        /* the holder has reported its grants to owner 1 */
bool told;         /* that report included the grant that the holder still uses */

chan wire[2] = [1] of { mtype, byte };
chan ack[2] = [1] of { bool };
chan demand[2] = [1] of { byte, byte };
chan reply[2] = [2] of { byte, byte };
chan release[2] = [2] of { byte };
chan question = [1] of { bool };
chan answer = [1] of { byte };

proctype Engine() {
	mtype kind;
	byte n, o;
	bool ok;
end:	do
	:: atomic {
		if
		:: wire[0]?kind, n -> o = 0
		:: wire[1]?kind, n -> o = 1
		fi;
		ok = false;
		if
		:: enforced && o + 1 < fence -> skip
		:: else ->
			fence = o + 1;
			if
			:: kind == LOAD && (loaded[n] || count < SLOTS) ->
				if
				:: !loaded[n] -> loaded[n] = true; count++
				:: else -> skip
				fi;
				ok = true
			:: kind == UNLOAD && loaded[n] ->
				assert(held[n] == 0);
				loaded[n] = false;
				count--;
				ok = true
			:: else -> skip
			fi
		fi;
		ack[o]!ok;
		kind = LOAD; n = 0; o = 0; ok = false
	}
	od
}

/* Owner o decides grants and orders. A worker sends an order some time after the
 * decision. */
proctype Owner(byte o) {
	bool usable[NAMES];
	byte pins[NAMES];
	byte a, r, n;
	byte target;
	mtype kind;
	bool ok, pending, sending, complete;

	if
	:: o == 0 -> skip
	:: o == 1 ->
		atomic { lapsed -> taken = true };
#ifdef PLAIN_NAMES
		atomic { for (n : 0 .. NAMES - 1) { usable[n] = loaded[n] }; n = 0 };
#endif
		if
		:: enforced ->
			wire[1]!FENCE, 0;
			ack[1]?ok;
			/* The engine now refuses all orders of owner 0. */
			atomic { for (n : 0 .. NAMES - 1) { usable[n] = loaded[n] }; n = 0; ok = false }
		:: else -> skip
		fi
	fi;
#ifdef NO_HOLDINGS
	complete = true;
#endif

end:	do
	:: o == 0 && dead -> break

	:: atomic { !(o == 0 && dead) && nempty(demand[o]) ->
		demand[o]?a, r;
		if
		:: usable[NAME(a, o)] && (o == 1 || !lapsed || !isolatedOver) ->
			pins[NAME(a, o)]++;
			reply[o]!r, NAME(a, o)
		:: !usable[NAME(a, o)] && o == 1 && usable[NAME(a, 0)] ->
			pins[NAME(a, 0)]++;
			reply[o]!r, NAME(a, 0)
		:: else -> reply[o]!r, NONE
		fi;
		a = 0; r = 0
	}

	:: atomic { !(o == 0 && dead) && nempty(release[o]) ->
		release[o]?n;
		if
		:: pins[n] > 0 -> pins[n]--
		:: else -> skip
		fi;
		n = 0
	}

	/* Decides a load. Requires a valid lease. */
	:: atomic { !(o == 0 && (dead || lapsed)) && !pending ->
		select(a : 0 .. ADAPTERS - 1);
		target = NAME(a, o);
		a = 0;
		if
		:: !usable[target] -> kind = LOAD; pending = true; sending = true
		:: else -> target = 0
		fi
	}

	/* Decides an unload. Requires a valid lease; the instance is not granted from
	 * here on. */
	:: atomic { !(o == 0 && (dead || lapsed)) && !pending ->
		select(n : 0 .. NAMES - 1);
		if
		:: FREE(n) && loaded[n] &&
		   (n == NAME(n % ADAPTERS, o) && usable[n] ||
		    o == 1 && n != NAME(n % ADAPTERS, 1) && (complete || grantsOver)) ->
			usable[n] = false;
			target = n;
			kind = UNLOAD; pending = true; sending = true
		:: else -> skip
		fi;
		n = 0
	}

	/* The worker sends the order, possibly after a pause. */
	:: atomic { !(o == 0 && dead) && sending -> wire[o]!kind, target; sending = false }

	:: atomic { !(o == 0 && dead) && pending && nempty(ack[o]) ->
		ack[o]?ok;
		if
		:: kind == LOAD && ok -> usable[target] = true
		:: else -> skip
		fi;
		pending = false; ok = false; target = 0; kind = LOAD
	}

	/* Owner 0 is known to have ended, so owner 1 asks the holder for its grants. */
	:: atomic { o == 1 && dead && !complete && !grantsOver && !asked -> question!true };
		atomic {
			answer?n;
			if
			:: n != NONE -> pins[n]++
			:: else -> skip
			fi;
			n = 0;
			complete = true
		}
	od
}

/* Reports the grants of the holder to a new owner. */
proctype HolderDuty() {
	bool x;
end:	do
	:: atomic { question?x ->
		asked = true;
		told = (old != NONE);
		answer!old
	}
	od
}

proctype Holder() {
	byte i, a, o, r, n;
	do
	:: i == REQUESTS -> break
	:: i < REQUESTS ->
		atomic {
			select(a : 0 .. ADAPTERS - 1);
			if
			:: !dead -> o = 0
			:: taken -> o = 1
			:: dead && !taken -> o = 2
			fi
		};
		if
		:: o == 2 -> n = NONE
		:: else ->
			demand[o]!a, i;
			do
			:: atomic { reply[o]?r, n ->
				if
				:: r == i -> break
				:: else -> skip
				fi
			}
			:: o == 0 && dead && empty(reply[0]) -> n = NONE; break
			od
		fi;
		/* The holder returns a grant of owner 0 that arrives after owner 1 has asked
		 * for the grants, or after the grant limit. */
		atomic {
			if
			:: n != NONE && !(o == 0 && (asked || grantsOver)) ->
				held[n]++;
				if
				:: o == 0 -> old = n
				:: else -> skip
				fi
			:: n != NONE && o == 0 && (asked || grantsOver) -> release[0]!n; n = NONE
			:: n == NONE -> skip
			fi
		};
		if
		:: n != NONE ->
			/* The request runs only if the engine has the instance loaded. */
			if
			:: loaded[n] -> assert(n % ADAPTERS == a)
			:: !loaded[n] -> skip
			fi;
			atomic {
				held[n]--;
				release[o]!n;
				if
				:: o == 0 ->
					old = NONE;
					if
					:: told -> release[1]!n; told = false
					:: else -> skip
					fi
				:: else -> skip
				fi
			}
		:: else -> skip
		fi;
		atomic { i++; a = 0; o = 0; r = 0; n = 0 }
	od
}

proctype Clock() {
	lapsed = true;
	taken;
	isolatedOver = true;
	atomic { old == NONE -> grantsOver = true }
}

proctype Death() {
	dead = true
}

init {
	atomic {
#ifdef TWO_SLOTS
		if
		:: enforced = true
		:: enforced = false
		fi;
#endif
#ifndef FENCING_IGNORED
#ifndef TWO_SLOTS
		enforced = true;
#endif
#endif
		run Engine();
		run Owner(0);
		run Owner(1);
		run HolderDuty();
		run Holder();
		run Clock();
		run Death()
	}
}

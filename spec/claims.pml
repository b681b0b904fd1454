/*
 * Claims that make a request with the repeat rule "forbidden" run at most once:
 * docs/design.md, section 6.1, and coordination/claim.
 *
 * Guards against a request that runs twice, against the answer "not run" for a
 * request that ran or still can run, and against a leftover claim that blocks
 * every further attempt.
 *
 * Bounds: 2 hosts; 3 attempts (proctype Try), at any host and overlapping in any
 * way; 1 claim write whose reply is lost and 1 crash of a host, or with
 * TWO_FAULTS 2 lost replies and no crash. A write whose reply is lost has been
 * applied, is never applied, or is applied at any later time. A host runs one
 * table operation on the key at a time. Lost replies are not modeled for
 * outcome and release writes: these are conditional on a record version, and a
 * version is never used again. Expiry of claims is not modeled.
 *
 * Asserted:
 *   - the request runs at most once;
 *   - an attempt that was told "not run" did not run and never will;
 *   - a held claim is not replaced;
 *   - while no host has crashed and all attempts were told "not run", a further
 *     attempt could run, at any moment and whichever writes are still in flight.
 *
 * Broken variants:
 *   CLAIM_AFTER_DISPATCH  the request is dispatched before it is claimed
 *   NO_TOKEN              after a lost reply, a host takes any unresolved claim
 *                         for its own
 *   DELETE_UNCONDITIONAL  clean-up deletes the record whatever its version is
 *   FORGET_ON_ABSENT      clean-up ends when the record is absent, although an
 *                         insert may still arrive
 *   DELETE_AFTER_REPLACE  a claim that replaced a record may be deleted when it
 *                         is released
 */
#define TRIES 3
#ifdef TWO_FAULTS
#define FAULTS 2
#define CRASHES 0
#else
#define FAULTS 1
#define CRASHES 1
#endif

#define ABSENT 0
#define UNRESOLVED 1
#define FINAL 2
#define RELEASED 3

#define PENDING 0
#define TOLD_NOT_RUN 1
#define TOLD_OTHER 2

#define BIT(t) (1 << (t))
#define CLEANING 9

/* The claim record in the table; version 0 means that it is absent. */
byte state = ABSENT;
byte token = 0;
byte version = 0;
byte written = 0;   /* the last version; versions are never reused */

/* Claim writes in flight whose reply was lost, by token: the number of inserts,
 * and the record version that a replacement expects. */
byte lateInserts[TRIES + 1];
byte lateReplaces[TRIES + 1];

/* State in the memory of each host, lost in a crash; start counts the crashes. */
byte start[2];
byte busy[2];        /* the attempt that uses the key, or CLEANING */
byte abandoned[2];   /* bit set of own tokens that did not run and never will */
byte unaccounted[2]; /* own inserts that may still be applied */
byte replacing[2];   /* version expected by an own replacement in flight; 0 is none */

/* Number of claim writes whose reply was lost, by token. */
byte inserts[TRIES + 1];
byte replaces[TRIES + 1];

byte faults = FAULTS;
byte crashes = 0;
byte runs = 0;
byte told[TRIES + 1]; /* the answer to each attempt */
byte begun = 0;
byte finished = 0;

inline put(t, s) {
	written++;
	version = written;
	token = t;
	state = s
}

inline remove() {
	state = ABSENT;
	token = 0;
	version = 0
}

/* Updates host state from the current record. A replacement that expects another
 * version can no longer apply; a final or released record keeps out late inserts. */
inline observe(h) {
	if
	:: replacing[h] != version -> replacing[h] = 0
	:: else
	fi;
	if
	:: state == FINAL || state == RELEASED -> unaccounted[h] = 0
	:: else
	fi
}

inline forget(h) {
	abandoned[h] = 0;
	unaccounted[h] = 0;
	replacing[h] = 0
}

/* Records a claim write whose reply was lost. */
inline note(h, t, expected) {
	if
	:: expected == 0 -> inserts[t]++; unaccounted[h]++
	:: else -> replaces[t]++; replacing[h] = expected
	fi
}

inline tell(t, what) {
	told[t] = what;
	finished++
}

proctype Try(byte t) {
	byte h, mine;
	byte seenState = ABSENT, seenToken = 0, seenVersion = 0, replaceable = 0;
	bool fresh = true, lost = false, replaced = false, confirmed = false;

	/* Symmetry reduction: attempts start in the order of their tokens, the first
	 * one at host 0. Other orders differ only by names. */
	atomic {
		begun == t - 1 ->
		begun++;
		if
		:: h = 0
		:: t > 1 -> h = 1
		fi;
		mine = start[h]
	}
	if
	:: atomic { start[h] == mine && busy[h] == 0 -> busy[h] = t }
	:: atomic { start[h] != mine -> goto dead }
	:: atomic { busy[h] != 0 -> tell(t, TOLD_OTHER); goto over }
	fi;

#ifdef CLAIM_AFTER_DISPATCH
	atomic { runs++; assert(runs <= 1) }
#endif

claiming:
	if
	:: atomic { start[h] != mine -> goto dead }
	/* The caller stops waiting, or the table is unavailable for too long. */
	:: atomic { start[h] == mine && !(fresh && seenState == UNRESOLVED && seenToken == t) ->
		if
		:: inserts[t] + replaces[t] > 0 -> abandoned[h] = abandoned[h] | BIT(t)
		:: else
		fi;
		busy[h] = 0;
		if
		:: fresh && seenState == UNRESOLVED && replaceable != seenToken -> tell(t, TOLD_OTHER)
		:: else -> tell(t, TOLD_NOT_RUN)
		fi;
		goto over
	   }
	:: atomic { start[h] == mine && !fresh ->
		seenState = state; seenToken = token; seenVersion = version;
		observe(h);
		fresh = true
	   }
#ifdef NO_TOKEN
	:: atomic { start[h] == mine && fresh && seenState == UNRESOLVED && (lost || seenToken == t) -> goto held }
#else
	:: atomic { start[h] == mine && fresh && seenState == UNRESOLVED && seenToken == t -> goto held }
#endif
	:: atomic { start[h] == mine && fresh && seenState == FINAL ->
		forget(h);
		busy[h] = 0;
		tell(t, TOLD_OTHER);
		goto over
	   }
	/* Asks the host of the claim seen whether the claim was abandoned. A host that
	 * crashed cannot confirm that. */
	:: atomic { start[h] == mine && fresh && seenState == UNRESOLVED && seenToken != t && replaceable != seenToken &&
		   ((abandoned[0] | abandoned[1]) & BIT(seenToken)) -> replaceable = seenToken }
	/* Another attempt holds the key: reads the record again after it changed. */
	:: atomic { start[h] == mine && fresh && seenState == UNRESOLVED && seenToken != t && replaceable != seenToken &&
		   version != seenVersion -> fresh = false }
	:: atomic { start[h] == mine && fresh && (seenState == ABSENT || seenState == RELEASED ||
		   (seenState == UNRESOLVED && replaceable == seenToken)) ->
		if
		:: if
		   :: version == seenVersion -> replaced = (seenVersion != 0); put(t, UNRESOLVED); confirmed = true
		   :: else
		   fi;
		   seenState = state; seenToken = token; seenVersion = version;
		   observe(h)
		:: faults > 0 ->
		   faults--;
		   note(h, t, seenVersion);
		   fresh = false;
		   lost = true;
		   if
		   :: version == seenVersion -> put(t, UNRESOLVED)
		   :: skip
		   :: seenVersion == 0 -> lateInserts[t]++
		   :: seenVersion != 0 -> lateReplaces[t] = seenVersion
		   fi
		fi
	   }
	fi;
	goto claiming;

held:
	if
	:: atomic { start[h] != mine -> goto dead }
	:: atomic { start[h] == mine ->
		if
		:: !confirmed && replaces[t] == 0 && unaccounted[h] > 0 -> unaccounted[h]--
		:: else
		fi;
		if
		:: replaces[t] > 0 -> replaced = true
		:: else
		fi
	   }
	fi;
	if
	:: atomic { start[h] != mine -> goto dead }
	:: atomic { start[h] == mine ->
#ifndef CLAIM_AFTER_DISPATCH
		assert(told[t] != TOLD_NOT_RUN);
		runs++;
		assert(runs <= 1)
#endif
	   }
#ifndef CLAIM_AFTER_DISPATCH
	/* The request provably did not run; from now on the host answers "abandoned"
	 * when another host asks about this claim. */
	:: atomic { start[h] == mine -> abandoned[h] = abandoned[h] | BIT(t); goto releasing }
#endif
	fi;
	if
	:: atomic { start[h] != mine -> goto dead }
	:: atomic { start[h] == mine ->
#ifndef NO_TOKEN
		assert(state == UNRESOLVED && token == t);
#endif
		put(t, FINAL);
		forget(h);
		busy[h] = 0;
		tell(t, TOLD_OTHER);
		goto over
	   }
	fi;

releasing:
	if
	:: atomic { start[h] != mine -> goto dead }
	:: atomic { start[h] == mine ->
		if
		:: state == UNRESOLVED && token == t ->
			if
#ifdef DELETE_AFTER_REPLACE
			:: unaccounted[h] == 0 && replacing[h] == 0 && abandoned[h] == BIT(t) -> remove()
#else
			:: !replaced && unaccounted[h] == 0 && replacing[h] == 0 && abandoned[h] == BIT(t) -> remove()
#endif
			:: else -> put(t, RELEASED)
			fi
		:: else
		fi;
		observe(h);
		if
		:: unaccounted[h] == 0 && replacing[h] == 0 -> abandoned[h] = abandoned[h] & ~BIT(t)
		:: else
		fi;
		busy[h] = 0;
		tell(t, TOLD_NOT_RUN);
		goto over
	   }
	fi;
dead:
	atomic { finished++ };
over:
	atomic {
		h = 0; mine = 0;
		seenState = 0; seenToken = 0; seenVersion = 0; replaceable = 0;
		fresh = false; lost = false; replaced = false; confirmed = false
	}
}

/* Cleans up after the abandoned claims of a host: deletes the record they left, or
 * writes a released record, which keeps out inserts that may still be applied. */
proctype Clean(byte h) {
	byte mine, seenState, seenToken, seenVersion;

end:
	do
	:: atomic {
		busy[h] == 0 && abandoned[h] != 0 ->
		busy[h] = CLEANING;
		mine = start[h];
		seenState = state; seenToken = token; seenVersion = version;
		observe(h)
	   }
	   atomic {
		if
		:: start[h] != mine
#ifdef DELETE_UNCONDITIONAL
		:: else -> remove(); abandoned[h] = 0; busy[h] = 0
#else
#ifdef FORGET_ON_ABSENT
		:: start[h] == mine && seenState == ABSENT -> abandoned[h] = 0; busy[h] = 0
#endif
		:: else ->
			if
			:: !(seenState == UNRESOLVED && (abandoned[h] & BIT(seenToken))) && unaccounted[h] == 0 && replacing[h] == 0 ->
				abandoned[h] = 0
			:: seenState == UNRESOLVED && (abandoned[h] & BIT(seenToken)) && replaces[seenToken] == 0 &&
			   unaccounted[h] == 1 && replacing[h] == 0 ->
				if
				:: version == seenVersion -> remove(); unaccounted[h] = 0
				:: else
				fi
			:: else ->
				if
				:: version == seenVersion && (seenState == ABSENT || seenState == RELEASED ||
				   (seenState == UNRESOLVED && (abandoned[h] & BIT(seenToken)))) -> put(0, RELEASED)
				:: else
				fi
			fi;
			observe(h);
			busy[h] = 0
#endif
		fi;
		mine = 0; seenState = 0; seenToken = 0; seenVersion = 0
	   }
	od
}

#define NOT_RUN_ONLY (told[1] == TOLD_NOT_RUN && told[2] == TOLD_NOT_RUN && told[3] == TOLD_NOT_RUN)

#define ARRIVE(t) \
	:: atomic { lateInserts[t] > 0 -> \
		lateInserts[t]--; \
		if \
		:: state == ABSENT -> put(t, UNRESOLVED) \
		:: else \
		fi } \
	:: atomic { lateReplaces[t] > 0 -> \
		if \
		:: version == lateReplaces[t] -> put(t, UNRESOLVED) \
		:: else \
		fi; \
		lateReplaces[t] = 0 }

#define CRASH(h) \
	:: atomic { crashes < CRASHES -> crashes++; start[h]++; busy[h] = 0; forget(h) }

/* Applies late writes at any time or never, crashes hosts, and asserts at every
 * moment after the last attempt that a further attempt could run. */
proctype Environment() {
end:
	do
	ARRIVE(1)
	ARRIVE(2)
	ARRIVE(3)
	CRASH(0)
	CRASH(1)
	:: atomic { finished == TRIES && crashes == 0 && NOT_RUN_ONLY ->
		assert(state == ABSENT || state == RELEASED ||
			(state == UNRESOLVED && ((abandoned[0] | abandoned[1]) & BIT(token)))) }
	od
}

init {
	atomic {
		run Clean(0);
		run Clean(1);
		run Environment();
		run Try(3);
		run Try(2);
		run Try(1)
	}
}

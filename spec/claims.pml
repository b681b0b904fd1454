/*
 * Claims of one request id that may not be repeated: design page, section 6.1,
 * and coordination/claim.
 *
 * Bounds: 2 hosts; 3 tries, at any host and overlapping in any way; 1 claim write
 * whose reply is lost and 1 crash of a host, or with TWO_FAULTS 2 lost replies
 * and no crash. A lost reply stands for a
 * write that took effect, one that did not, or one that takes effect at any
 * later time or never. A host carries out one operation on the key at a time.
 * Outcomes and releases are written without lost replies: they are conditional
 * on a version, and a version is never used again. Expiry is not modeled.
 *
 * Asserted: the request runs at most once; a try that was told "not run" did
 * not run and never will; nobody replaces a claim that is held; while no host
 * crashed and all tries were told "not run", another try could run, at any
 * moment and whatever still arrives.
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

/* The record in the table. */
byte state = ABSENT;
byte token = 0;
byte version = 0;
byte written = 0;

/* Writes that may still arrive: inserts by token, and the version that a
 * replacement expects. */
byte lateInserts[TRIES + 1];
byte lateReplaces[TRIES + 1];

/* What each host knows. A crash loses it. */
byte start[2];
byte busy[2];
byte abandoned[2];
byte unaccounted[2];
byte replacing[2];

/* Claim writes with a lost reply, by token. */
byte inserts[TRIES + 1];
byte replaces[TRIES + 1];

byte faults = FAULTS;
byte crashes = 0;
byte runs = 0;
byte told[TRIES + 1];
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

/* Takes in the record as it is now. */
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

/* Notes a claim write whose reply was lost. */
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

	/* Tries start in the order of their tokens, the first one at host 0; the
	 * other orders are the same up to names. */
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
	/* The caller stops waiting, or the table fails for too long. */
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
	/* Asks the host of the claim seen; a host that crashed knows nothing. */
	:: atomic { start[h] == mine && fresh && seenState == UNRESOLVED && seenToken != t && replaceable != seenToken &&
		   ((abandoned[0] | abandoned[1]) & BIT(seenToken)) -> replaceable = seenToken }
	/* Waits and reads again. */
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
	/* It is proved that nothing ran; from now on the host answers "abandoned". */
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

/* Removes what the abandoned claims of a host left in the table. */
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

/* Carries late writes out, or never does; crashes hosts; and checks at every
 * moment after the last try that another try could run. */
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

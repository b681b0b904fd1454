/*
 * Acceptance and distribution of configuration changes (coordination/revision).
 *
 * Guards against a host that goes back to an older revision, hosts that disagree
 * on a revision, a change that is accepted twice when an operator sends it again,
 * and a host that never gets the latest revision.
 *
 * Bounds: 3 hosts, 2 operators with one operation each, at most MAXREV
 * revisions, at most DOUBTS lost or late replies per operator, at most LAGS
 * stale reads of the head, one temporary network cut of host 2.
 *
 * A transaction writes the head, the operation record and the change atomically.
 * Its reply can be lost, and a transaction without a reply can be applied later.
 * Pushes can be lost. A host can stop after the write and before it applies the
 * change itself. Host 0 reads the head from the table; the other hosts get
 * changes by push and pull.
 *
 * Asserted: the revision at a host never decreases; two hosts never have
 * different changes at one revision; an operation is accepted at most once; and
 * (liveness, because the cut ends and every action makes progress) every host
 * gets the highest revision.
 *
 * Broken variants:
 *   STALE_READ_APPLIED  a host applies a stale head
 *   NO_OPERATION_ID     no operation record is checked, so that an operation that
 *                       is sent again is not recognized
 *   PUSH_ONLY           hosts do not pull
 */
#define HOSTS 3
#define OPERATORS 2
#define MAXREV 2
#define DOUBTS 1
#define LAGS 1
#define NONE 255
#define AT(h, r) ((h) * (MAXREV + 1) + (r))

byte head;                      /* highest accepted revision */
byte change[MAXREV + 1];        /* operation + 1 that created a revision */
byte record[OPERATORS];         /* revision of an operation; 0 is none */
byte accepted[OPERATORS];       /* how often an operation was accepted */
byte late[OPERATORS] = NONE;    /* expected revision of a transaction that may apply late */
byte rev[HOSTS];                /* current revision of each host */
byte highest[HOSTS];            /* highest revision that a host has applied */
byte have[HOSTS * (MAXREV + 1)];/* operation + 1 of each revision that a host applied */
byte lags;
bool cut;
chan pushed[HOSTS] = [1] of { byte, byte };

inline force(h, r, o) {
	if
	:: r == rev[h] + 1 ->
		rev[h] = r;
		have[AT(h, r)] = o;
		assert(rev[h] >= highest[h]);
		highest[h] = r;
		assert(rev[0] < r || have[AT(0, r)] == o);
		assert(rev[1] < r || have[AT(1, r)] == o);
		assert(rev[2] < r || have[AT(2, r)] == o)
	:: else
	fi
}

inline commit(op, exp) {
	if
#ifdef NO_OPERATION_ID
	:: head == exp && head < MAXREV ->
#else
	:: head == exp && record[op] == 0 ->
#endif
		head++;
		change[head] = op + 1;
		record[op] = head;
		accepted[op]++;
		assert(accepted[op] <= 1)
	:: else
	fi
}

proctype operator(byte op; byte at) {
	byte expected = rev[at];
	byte doubts;
	byte before;
	byte to;
send:
	atomic {
		before = accepted[op];
		if
		:: commit(op, expected)                 /* the reply arrives */
		:: doubts < DOUBTS -> doubts++; commit(op, expected); goto doubt
		:: doubts < DOUBTS -> doubts++; goto doubt
		:: doubts < DOUBTS && late[op] == NONE -> doubts++; late[op] = expected; goto doubt
		fi;
#ifdef NO_OPERATION_ID
		if
		:: accepted[op] > before -> goto done
		:: else -> goto conflict
		fi
#else
		if
		:: record[op] != 0 -> goto done
		:: else -> goto conflict
		fi
#endif
	}
doubt:
	/* No reply: the operator sends the same transaction again. */
	goto send;
conflict:
	atomic { rev[at] > expected -> expected = rev[at] };
	goto send;
done:
	atomic {
		if
		:: force(at, record[op], op + 1)
		:: goto stopped                         /* the host stops before it applies the change */
		fi;
		to = 0;
		do
		:: to == HOSTS -> break
		:: to < HOSTS && to != at && !(cut && (to == 2 || at == 2)) && nfull(pushed[to]) ->
			pushed[to]!record[op], op + 1; to++
		:: to < HOSTS -> to++                   /* the push is lost */
		od;
		to = 0
	}
stopped:
	skip
}

/* Applies a transaction without a reply later, or never. */
proctype lateWrite(byte op) {
end:
	do
	:: atomic { late[op] != NONE -> commit(op, late[op]); late[op] = NONE; break }
	:: atomic { late[op] != NONE -> late[op] = NONE; break }
	od
}

proctype host(byte h) {
	byte r;
	byte o;
end:
	do
	:: atomic { pushed[h]?r, o -> force(h, r, o); r = 0; o = 0 }
#ifndef PUSH_ONLY
	:: atomic { rev[0] > rev[h] && !(cut && h == 2) -> r = rev[h] + 1; force(h, r, have[AT(0, r)]); r = 0 }
	:: atomic { rev[1] > rev[h] && !(cut && h == 2) -> r = rev[h] + 1; force(h, r, have[AT(1, r)]); r = 0 }
	:: atomic { rev[2] > rev[h] && !cut -> r = rev[h] + 1; force(h, r, have[AT(2, r)]); r = 0 }
#endif
	:: atomic { h == 0 && head > rev[h] -> r = rev[h] + 1; force(h, r, change[r]); r = 0 }
	:: atomic { h == 0 && head > 0 && lags < LAGS ->
		lags++;
		r = head - 1;                           /* stale read of the head */
#ifdef STALE_READ_APPLIED
		rev[h] = r;
		assert(rev[h] >= highest[h]);
#else
		if
		:: r > rev[h] -> r = rev[h] + 1; force(h, r, change[r])
		:: else
		fi;
#endif
		r = 0 }
	od
}

proctype link() {
	cut = true;
	cut = false
}

init {
	atomic {
		run host(0); run host(1); run host(2);
		run operator(0, 0); run operator(1, 2);
		run lateWrite(0); run lateWrite(1);
		run link()
	}
}

#define SAME (rev[0] == head && rev[1] == head && rev[2] == head)

ltl everyHost { <>[] SAME }

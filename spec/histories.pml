/*
 * One lease over a store that comes back from an older copy.
 *
 * Guards against two holders and against an epoch that two hosts use, when the
 * store loses its last writes, gives their numbers out again, and carries writes of
 * the lost history out in the next one.
 *
 * Two hosts take, renew and release the lease. A write depends on the number of the
 * row that its host saw last. It may be carried out late; its answer may be lost.
 * The store compares numbers only. A host learns of the store's era from answers.
 *
 * Time: a wait for the length of a lease ends all leases, and all writes under way,
 * that are older than the begin of the wait. A lease counts from when its write was
 * sent. A lease may also end at any time.
 *
 * Asserted: at most one host has a valid lease, and no epoch is used by two hosts.
 *
 * Bounds: RESTORES restores, numbers up to NUMBERS in each history, SENDS writes of
 * each host.
 *
 * Other bounds: with LATE_LEARNER a host may send writes for longer than a lease
 * without learning of the new history. Such a write can find the number that it
 * expects by chance and replace a record of the new history.
 *
 * Broken variants:
 *   NO_LABEL       records of an earlier era count as any other record
 *   OLD_EPOCHS     epochs of a new era go on from the epoch of the copy, whatever the
 *                  number of the row
 *   NUMBERS_ONLY   conditions of an earlier era are sent, and an answer from a new
 *                  era proves that the write took effect on the row that was seen
 */
#ifndef RESTORES
#define RESTORES 1
#endif
#define NUMBERS 3
#define SENDS 2
#define ERA_EPOCHS 8
#define NOBODY 2
#define other(h) (1 - (h))

typedef Row { byte holder; byte epoch; byte label; byte number };

Row row;                 /* the row in the store */
Row copy;                /* the row in the copy that the store comes back from */
byte era = 0;            /* the store's era */
byte number = 0;         /* the store's last transaction */
byte copied_number = 0;

Row seen[2];             /* the row as each host saw it last */
byte seen_era[2];        /* the era that seen is from */
byte known_era[2];       /* the highest era of the answers to each host */
bit valid[2];            /* the host has a valid lease */
byte epoch[2];           /* the epoch of the valid lease */
bit waiting[2];          /* the host waits for the length of a lease */
bit sent_later[2];       /* the write under way was sent after the other's wait began */
bit valid_later[2];      /* so was the write that the valid lease counts from */
bit pending[2];          /* a write without an answer may be carried out */
Row sent[2];             /* that write; its number is the one that it depends on */
byte sent_era[2];        /* the era that the host knew when it sent the write */
byte sends[2];           /* the writes that each host has sent */
byte user[24];           /* 1 + the host that used each epoch */

inline become_valid(me, ep) {
	assert(!valid[other(me)]);
	assert(user[ep] == 0 || user[ep] == me + 1);
	user[ep] = me + 1;
	valid[me] = 1; epoch[me] = ep
}

/* of_lost_history: the row that the host saw was not written in the era it knows. */
#ifdef NO_LABEL
#define of_lost_history(h) 0
#else
#define of_lost_history(h) (seen[h].label < known_era[h])
#endif

inline see(h) {
	if
	:: known_era[h] < era -> known_era[h] = era; waiting[h] = 0
	:: else -> skip
	fi;
	if
	:: seen[h].number != row.number || seen_era[h] != era -> waiting[h] = 0
	:: else -> skip
	fi;
	seen[h].holder = row.holder; seen[h].epoch = row.epoch; seen[h].label = row.label; seen[h].number = row.number;
	seen_era[h] = era;
	if
	:: valid[h] && of_lost_history(h) -> skip /* The lease is kept and written again. */
	:: valid[h] && seen[h].holder == h && seen[h].epoch == epoch[h] -> skip
	:: else -> valid[h] = 0
	fi
}

/* drop forgets the pending write of a host. */
inline drop(n) {
	pending[n] = 0; sent[n].holder = 0; sent[n].epoch = 0; sent[n].label = 0; sent[n].number = 0; sent_era[n] = 0
}

/* carry_out carries out the pending write of a host if its condition holds. */
inline carry_out(h, applied) {
	applied = 0;
	if
	:: row.number == sent[h].number && number < NUMBERS ->
		number++;
		row.holder = sent[h].holder; row.epoch = sent[h].epoch; row.label = sent[h].label; row.number = number;
		applied = 1
	:: else -> skip
	fi;
	drop(h)
}

/* send sends a write of the host: a row with the holder and the epoch. */
inline send(me, to, ep) {
	sent[me].holder = to; sent[me].epoch = ep; sent[me].label = known_era[me]; sent[me].number = seen[me].number;
	sends[me]++; sent_era[me] = known_era[me]; pending[me] = 1; sent_later[me] = 1
}

#ifdef NUMBERS_ONLY
#define may_send(h) (!pending[h] && sends[h] < SENDS)
#else
#define may_send(h) (!pending[h] && sends[h] < SENDS && seen_era[h] == known_era[h])
#endif

#ifdef OLD_EPOCHS
#define first_epoch(h) 1
#else
#define first_epoch(h) (known_era[h] > 0 -> known_era[h] * ERA_EPOCHS + seen[h].number + 1 : 1)
#endif

proctype Host(byte h) {
	bit applied = 0;
	byte next = 0, sender_era = 0;
end:
	do
	:: atomic { true -> see(h) } /* Reads the row. */
	:: atomic { valid[h] -> valid[h] = 0 } /* The lease expires. */
	:: atomic { !waiting[h] && !valid[h] && seen_era[h] == known_era[h] ->
		waiting[h] = 1; sent_later[other(h)] = 0; valid_later[other(h)] = 0
	}
	:: atomic { /* Takes the lease. A released row of the present history needs no wait. */
		may_send(h) && !valid[h] && seen[h].epoch < known_era[h] * ERA_EPOCHS + ERA_EPOCHS - 1 &&
		(waiting[h] || seen[h].holder == NOBODY && !of_lost_history(h)) ->
		if
		:: seen[h].holder == NOBODY && !of_lost_history(h) -> skip
		:: else -> /* The wait is over. */
			if
			:: !valid_later[other(h)] -> valid[other(h)] = 0
			:: else -> skip
			fi;
			if
			:: !sent_later[other(h)] -> drop(other(h))
			:: else -> skip
			fi;
#ifndef LATE_LEARNER
			/* The other host has learned of the history, or sends nothing. */
			if
			:: pending[other(h)] && sent_era[other(h)] < known_era[h] -> drop(other(h))
			:: else -> skip
			fi;
			if
			:: known_era[other(h)] < known_era[h] -> known_era[other(h)] = known_era[h]
			:: else -> skip
			fi
#else
			skip
#endif
		fi;
		waiting[h] = 0;
		next = seen[h].epoch + 1;
		if
		:: next < first_epoch(h) -> next = first_epoch(h)
		:: else -> skip
		fi;
		send(h, h, next); next = 0
	}
	:: atomic { may_send(h) && valid[h] -> send(h, h, epoch[h]) } /* Renews the lease. */
	:: atomic { may_send(h) && valid[h] && seen[h].holder == h -> /* Releases the lease. */
		valid[h] = 0;
		send(h, NOBODY, epoch[h])
	}
	:: atomic { pending[h] -> /* The write is carried out and answered. */
		next = sent[h].epoch; sender_era = sent_era[h];
		if
		:: sent[h].holder == h ->
			carry_out(h, applied);
			if
			:: applied && era != sender_era ->
#ifdef NUMBERS_ONLY
				known_era[h] = era; seen_era[h] = era;
				seen[h].holder = row.holder; seen[h].epoch = row.epoch; seen[h].label = row.label; seen[h].number = row.number;
				if
				:: !valid[h] -> become_valid(h, next)
				:: else -> skip
				fi;
				valid_later[h] = sent_later[h]
#else
				see(h) /* The outcome is unknown, so the host reads. */
#endif
			:: applied && era == sender_era ->
				seen[h].holder = row.holder; seen[h].epoch = row.epoch; seen[h].label = row.label; seen[h].number = row.number;
				seen_era[h] = era; waiting[h] = 0;
				if
				:: !valid[h] -> become_valid(h, next)
				:: else -> skip
				fi;
				valid_later[h] = sent_later[h]
			:: else -> see(h)
			fi
		:: else -> carry_out(h, applied); see(h)
		fi;
		next = 0; applied = 0; sender_era = 0
	}
	:: atomic { pending[h] -> carry_out(h, applied); applied = 0 } /* Late, or without an answer. */
	:: atomic { pending[h] -> drop(h) } /* The write is lost. */
	od
}

proctype Store() {
	bit has_copy = 0;
	byte restores = 0;
end:
	do
	:: atomic { !has_copy && restores < RESTORES ->
		copy.holder = row.holder; copy.epoch = row.epoch; copy.label = row.label; copy.number = row.number;
		copied_number = number; has_copy = 1
	}
	:: atomic { has_copy ->
		era++; restores++; has_copy = 0;
		row.holder = copy.holder; row.epoch = copy.epoch; row.label = copy.label; row.number = copy.number;
		number = copied_number; copied_number = 0;
		copy.holder = 0; copy.epoch = 0; copy.label = 0; copy.number = 0
	}
	:: atomic { number < NUMBERS -> number++ } /* A write of another row. */
	od
}

init {
	atomic {
		row.holder = NOBODY;
		seen[0].holder = NOBODY; seen[1].holder = NOBODY;
		run Store(); run Host(0); run Host(1)
	}
}

package claim

import (
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// maximumAbandoned bounds the abandoned tokens of one key, so that a caller who
// retries during a long outage of the table cannot use memory without limit.
const maximumAbandoned = 16

// A phase is what a host does with its own claim of a key.
type phase int

// The phases.
const (
	// phaseIdle means that there is no own claim; abandoned ones may remain.
	phaseIdle phase = iota
	// phaseClaiming means that the table has not confirmed the own claim yet.
	phaseClaiming
	// phaseHeld means that the own claim is in the table.
	phaseHeld
)

// A tokenWrites counts the claim writes sent with one token whose reply was lost.
type tokenWrites struct {
	inserts, replaces int
}

// A resolution is an outcome on its way to the table.
type resolution struct {
	token   booking.ClaimToken
	key     booking.Key
	outcome booking.Outcome
	// retained is the size of the answer that is kept in memory.
	retained int
	// reply has room for the one result; nil when nobody waits.
	reply chan error
}

// An entry is what a host knows of one key. It decides the next step from the
// record last seen and from the claim writes that may still arrive.
//
// A record may be deleted only while no insert for its key can arrive later,
// from any token. An insert that arrives late on an absent key would claim it
// for nobody. Where that cannot be excluded, the record is overwritten with
// the outcome NotRun, which a new claim may replace and a late insert cannot.
type entry struct {
	key      booking.Key
	tableKey table.Key
	host     fleet.HostName
	start    fleet.StartNumber

	attempts []*attempt
	phase    phase
	// token is the own claim; it is empty in phaseIdle and never used again
	// after the entry left phaseHeld or gave up.
	token  booking.ClaimToken
	writes tokenWrites
	// replaced says that the own claim replaced a record. Other hosts rely on
	// the key staying taken, so the record is not deleted.
	replaced   bool
	resolution *resolution

	// seen is the record last seen; fresh says that no reply was lost since.
	seen  record
	fresh bool

	// abandoned are own tokens under which the request did not run and never will.
	abandoned map[booking.ClaimToken]tokenWrites
	// lateInserts counts own inserts that may still arrive while the key is absent.
	lateInserts int
	// lateReplaces are the versions expected by own replacements that may still arrive.
	lateReplaces []table.Version

	// asked is the claim whose host was asked since the last read.
	asked booking.ClaimToken
	// replaceable is a claim whose host answered that it was abandoned.
	replaceable booking.ClaimToken

	// busy says that an operation is in flight; there is at most one per key.
	busy bool
	// due is the earliest time of the next operation.
	due time.Time
	// failing is when the operations began to fail; zero while they succeed.
	failing time.Time
	// cause is the last failure of the table.
	cause  error
	pauses *backoff.ExponentialBackOff
	// wake and index belong to the timer heap.
	wake  time.Time
	index int
	// givenUp counts the tokens that were abandoned.
	givenUp uint64
	// counted is the entry's share in the totals of the loop.
	counted entryTotals
}

// An entryTotals is the share of an entry in the totals of the loop.
type entryTotals struct {
	attempts, retained int
	abandoned          uint64
}

// An operationKind is a kind of slow step.
type operationKind int

// The kinds of slow steps.
const (
	operationNone operationKind = iota
	operationRead
	operationClaim
	operationRelease
	operationOutcome
	operationAsk
)

// An operation is a slow step of an entry.
type operation struct {
	entry *entry
	kind  operationKind
	write table.Write
	// asked is the claim in question; set for operationAsk.
	asked  booking.Claim
	queued time.Time
}

func (o *operation) writes() bool {
	return o.kind == operationClaim || o.kind == operationRelease || o.kind == operationOutcome
}

func newEntry(key booking.Key, host fleet.HostName, start fleet.StartNumber) *entry {
	// The first write assumes an absent record; its result shows the record
	// where this is wrong, so that a usual claim costs no read.
	return &entry{key: key, tableKey: tableKey(key), host: host, start: start, fresh: true, index: -1}
}

// status returns what the host knows of its claim.
func (e *entry) status(token booking.ClaimToken) booking.ClaimStatus {
	if _, ok := e.abandoned[token]; ok {
		return booking.StatusAbandoned
	}
	if token == "" || token != e.token {
		return booking.StatusUnknown
	}
	if e.resolution != nil && e.resolution.outcome.Verdict == verdict.NotRun {
		return booking.StatusAbandoned
	}
	return booking.StatusRunning
}

// over says that nothing is left to do for the key.
func (e *entry) over() bool {
	return !e.busy && e.phase == phaseIdle && len(e.attempts) == 0 && len(e.abandoned) == 0
}

// next returns the next slow step, or an operation of kind operationNone.
func (e *entry) next(now time.Time, stopping bool) operation {
	e.prune(now)
	if stopping {
		e.refuse(verdict.CodeStopping, 0, nil)
	}
	switch e.phase {
	case phaseIdle:
		if len(e.attempts) > 0 {
			e.begin()
			return e.nextClaim(now, stopping)
		}
		return e.nextClean(now, stopping)
	case phaseClaiming:
		return e.nextClaim(now, stopping)
	default:
		return e.nextHeld(now, stopping)
	}
}

// begin starts a claim with a fresh token.
func (e *entry) begin() {
	e.phase = phaseClaiming
	e.token = booking.ClaimToken(uuid.NewString())
	e.writes = tokenWrites{}
	e.replaced = false
	e.failing = time.Time{}
	e.pauses = nil
	e.due = time.Time{}
}

func (e *entry) nextClaim(now time.Time, stopping bool) operation {
	if e.fresh && e.seen.unresolved() && e.seen.claim.Token == e.token {
		e.hold(now, false)
		return e.nextHeld(now, stopping)
	}
	if len(e.attempts) == 0 {
		e.abandon()
		return e.nextClean(now, stopping)
	}
	if now.Before(e.due) {
		return operation{}
	}
	if !e.fresh {
		return operation{kind: operationRead}
	}
	if e.seen.final() {
		e.finish(e.seen.claim.Outcome)
		return operation{}
	}
	if !e.seen.unresolved() || e.mayReplace() {
		e.contest(false)
		return e.claimWrite(now)
	}
	e.contest(true)
	foreign := e.seen.claim
	if e.asked != foreign.Token && foreign.Host != e.host {
		e.asked = foreign.Token
		return operation{kind: operationAsk, asked: foreign}
	}
	e.asked = ""
	e.fresh = false
	e.pause(now, 20*time.Millisecond, 500*time.Millisecond)
	return operation{}
}

// mayReplace says whether it is proved that the claim seen never ran its request.
func (e *entry) mayReplace() bool {
	_, own := e.abandoned[e.seen.claim.Token]
	return own || e.seen.claim.Token == e.replaceable
}

func (e *entry) claimWrite(now time.Time) operation {
	return e.writeOf(operationClaim, booking.Claim{Token: e.token, Host: e.host, Start: e.start, ClaimedAt: now})
}

func (e *entry) writeOf(kind operationKind, claim booking.Claim) operation {
	value, err := encodeClaim(claim)
	if err != nil {
		// The struct holds only strings, times and bytes, which always encode.
		panic(err)
	}
	return operation{kind: kind, write: table.Write{Key: e.tableKey, Expected: e.seen.version, Value: value}}
}

// releaseWrite keeps the key taken with the outcome NotRun.
func (e *entry) releaseWrite(token booking.ClaimToken, now time.Time) operation {
	return e.writeOf(operationRelease, booking.Claim{
		Token: token, Host: e.host, Start: e.start, ClaimedAt: now,
		Outcome: &booking.Outcome{Verdict: verdict.NotRun},
	})
}

func (e *entry) deleteWrite() operation {
	return operation{kind: operationRelease, write: table.Write{Key: e.tableKey, Expected: e.seen.version, Delete: true}}
}

// hold enters phaseHeld and hands the ticket to the first attempt that still
// waits. confirmed says that the reply to the own write came.
func (e *entry) hold(now time.Time, confirmed bool) {
	e.phase = phaseHeld
	if e.writes.replaces > 0 {
		e.replaced = true
	}
	if !confirmed && e.writes.replaces == 0 && e.writes.inserts > 0 {
		e.lateInserts = max(0, e.lateInserts-1)
	}
	e.asked, e.replaceable = "", ""
	for len(e.attempts) > 0 {
		a := e.attempts[0]
		e.attempts = e.attempts[1:]
		if !now.Before(a.deadline) {
			a.settle(attemptAnswer{failure: a.refusal(verdict.CodeDeadline, 0, nil)})
			continue
		}
		if failure := checkAge(e.key.Request, now, MaxRequestIDAge+grantMargin); failure != nil {
			a.settle(attemptAnswer{failure: failure})
			continue
		}
		if a.settle(attemptAnswer{ticket: booking.ClaimHandle{Key: e.key, Token: e.token}}) {
			e.contest(true)
			return
		}
	}
	e.resolution = &resolution{token: e.token, key: e.key, outcome: booking.Outcome{Verdict: verdict.NotRun}}
}

func (e *entry) nextHeld(now time.Time, stopping bool) operation {
	if e.resolution == nil || now.Before(e.due) {
		return operation{}
	}
	if !e.fresh {
		return operation{kind: operationRead}
	}
	outcome := e.resolution.outcome
	if e.seen.claim.Token == e.token && e.seen.unresolved() {
		if outcome.Verdict != verdict.NotRun {
			claim := e.seen.claim
			claim.Outcome = &outcome
			return e.writeOf(operationOutcome, claim)
		}
		if e.mayDelete() {
			return e.deleteWrite()
		}
		return e.releaseWrite(e.token, now)
	}
	if outcome.Verdict == verdict.NotRun {
		e.released()
		if len(e.attempts) > 0 {
			e.begin()
			return e.nextClaim(now, stopping)
		}
		return e.nextClean(now, stopping)
	}
	if e.seen.absent() {
		// The record was removed by hand or by a clean-up with a wrong clock; the
		// outcome still keeps a second try out.
		return e.writeOf(operationOutcome, booking.Claim{Token: e.token, Host: e.host, Start: e.start, ClaimedAt: now, Outcome: &outcome})
	}
	var err error
	if e.seen.claim.Token != e.token {
		err = verdict.NewMayHaveRun(verdict.CodeInternal, nil, "claim of request %s was replaced in the table before its outcome was recorded", e.key.Request)
	}
	e.reply(err)
	e.finish(&outcome)
	return operation{}
}

func (e *entry) mayDelete() bool {
	return !e.replaced && e.lateInserts == 0 && len(e.lateReplaces) == 0 && len(e.abandoned) == 0
}

// released leaves phaseHeld after the table confirmed that the claim is gone.
func (e *entry) released() {
	e.reply(nil)
	if e.lateInserts > 0 || len(e.lateReplaces) > 0 {
		e.noteAbandoned()
	}
	e.phase, e.token = phaseIdle, ""
	e.contest(false)
}

// finish answers all attempts with a final outcome. Its record keeps late
// inserts out for the life of the claim, so nothing else is left to do.
func (e *entry) finish(outcome *booking.Outcome) {
	for _, a := range e.attempts {
		a.settle(replay(e.key, outcome))
	}
	e.attempts, e.abandoned = nil, nil
	e.lateInserts, e.lateReplaces = 0, nil
	e.phase, e.token = phaseIdle, ""
}

// abandon gives the own claim up before the table confirmed it.
func (e *entry) abandon() {
	if e.writes.inserts+e.writes.replaces > 0 {
		e.noteAbandoned()
	}
	e.phase, e.token = phaseIdle, ""
}

func (e *entry) noteAbandoned() {
	if e.abandoned == nil {
		e.abandoned = make(map[booking.ClaimToken]tokenWrites)
	}
	e.abandoned[e.token] = e.writes
	e.givenUp++
}

// nextClean removes what abandoned claims left in the table, or keeps their
// late inserts out, until the table confirms it.
func (e *entry) nextClean(now time.Time, stopping bool) operation {
	if len(e.abandoned) == 0 || now.Before(e.due) {
		return operation{}
	}
	if !e.fresh {
		return operation{kind: operationRead}
	}
	writes, own := e.abandoned[e.seen.claim.Token]
	own = own && e.seen.unresolved()
	switch {
	case !own && e.lateInserts == 0 && len(e.lateReplaces) == 0:
		e.abandoned = nil
		return operation{}
	case own && writes.replaces == 0 && e.lateInserts == 1 && len(e.lateReplaces) == 0:
		// The only insert that was unaccounted for is the record itself.
		return e.deleteWrite()
	case own || !e.seen.unresolved() || e.seen.claim.Token == e.replaceable:
		return e.releaseWrite(booking.ClaimToken(uuid.NewString()), now)
	case stopping:
		// The claim of another host keeps the late insert out while it stands.
		e.abandoned = nil
		return operation{}
	default:
		e.fresh = false
		e.pause(now, 20*time.Millisecond, 30*time.Second)
		return operation{}
	}
}

// observe takes in a record that was read or returned by a write.
func (e *entry) observe(seen record) {
	e.seen, e.fresh = seen, true
	e.failing = time.Time{}
	// Versions are never used again, so other replacements cannot apply any more.
	e.lateReplaces = slices.DeleteFunc(e.lateReplaces, func(v table.Version) bool { return v != seen.version })
	if seen.released() || seen.final() {
		// Records of these kinds are replaced but never deleted in the time in
		// which the request id is accepted.
		e.lateInserts = 0
	}
}

// wrote takes in the reply to a write.
func (e *entry) wrote(o *operation, applied bool, seen record, now time.Time) {
	e.observe(seen)
	e.pauses = nil
	e.due = time.Time{}
	if !applied {
		return
	}
	switch {
	case o.kind == operationClaim:
		e.replaced = o.write.Expected != 0
		e.hold(now, true)
	case o.write.Delete && e.phase == phaseIdle:
		e.lateInserts = 0
	}
}

// lost takes in that the reply to an operation did not come.
func (e *entry) lost(o *operation, effect bool, cause error, now time.Time) {
	e.cause = cause
	if o.writes() && effect {
		e.fresh = false
		if o.kind == operationClaim {
			e.expectLate(o.write.Expected)
		}
	}
	if e.failing.IsZero() {
		e.failing = o.queued
	}
	e.pause(now, 5*time.Millisecond, time.Second)
}

func (e *entry) expectLate(expected table.Version) {
	if expected == 0 {
		e.writes.inserts++
		e.lateInserts++
		return
	}
	e.writes.replaces++
	if !slices.Contains(e.lateReplaces, expected) {
		e.lateReplaces = append(e.lateReplaces, expected)
	}
}

// answered takes in the status of the claim asked for.
func (e *entry) answered(token booking.ClaimToken, status booking.ClaimStatus) {
	if status == booking.StatusAbandoned {
		e.replaceable = token
	}
}

// giveUp refuses the attempts when the table failed for longer than limit.
// Attempts that wait for an earlier try wait until their deadline.
func (e *entry) giveUp(now time.Time, limit time.Duration) {
	if e.phase != phaseClaiming || e.failing.IsZero() || now.Sub(e.failing) < limit {
		return
	}
	waiting := e.attempts[:0]
	for _, a := range e.attempts {
		if a.contested.Load() {
			waiting = append(waiting, a)
			continue
		}
		a.settle(attemptAnswer{failure: a.refusal(verdict.CodeTableUnavailable, time.Second, e.cause)})
	}
	e.attempts = waiting
}

// refuse ends all attempts.
func (e *entry) refuse(code verdict.Code, retryAfter time.Duration, cause error) {
	for _, a := range e.attempts {
		a.settle(attemptAnswer{failure: a.refusal(code, retryAfter, cause)})
	}
	e.attempts = nil
}

// reply ends the resolution.
func (e *entry) reply(err error) {
	if e.resolution != nil && e.resolution.reply != nil {
		e.resolution.reply <- err
	}
	e.resolution = nil
}

// prune drops the attempts whose callers no longer wait.
func (e *entry) prune(now time.Time) {
	e.attempts = slices.DeleteFunc(e.attempts, func(a *attempt) bool {
		if !now.Before(a.deadline) {
			a.settle(attemptAnswer{failure: a.refusal(verdict.CodeDeadline, 0, nil)})
		}
		return a.state.Load() != attemptWaiting
	})
}

func (e *entry) contest(contested bool) {
	for _, a := range e.attempts {
		a.contested.Store(contested)
	}
}

func (e *entry) pause(now time.Time, initial, longest time.Duration) {
	if e.pauses == nil || e.pauses.MaxInterval != longest {
		e.pauses = backoff.NewExponentialBackOff()
		e.pauses.InitialInterval = initial
		e.pauses.MaxInterval = longest
		e.pauses.Multiplier = 2
		e.pauses.Reset()
	}
	e.due = now.Add(e.pauses.NextBackOff())
}

// nextWake returns when the entry is to be looked at again without a message;
// zero means never.
func (e *entry) nextWake(now time.Time) time.Time {
	if e.busy {
		return time.Time{}
	}
	var wake time.Time
	if now.Before(e.due) {
		wake = e.due
	}
	if e.phase == phaseHeld && e.resolution == nil {
		wake = time.Time{}
	}
	for _, a := range e.attempts {
		if wake.IsZero() || a.deadline.Before(wake) {
			wake = a.deadline
		}
	}
	return wake
}

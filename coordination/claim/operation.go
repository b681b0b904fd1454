package claim

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// operationKind says what a worker goroutine does for an entry.
type operationKind int

const (
	operationNone operationKind = iota
	operationRead
	operationClaim
	operationRelease
	operationOutcome
	operationPeerQuery
)

// operation is one step of an entry that a worker goroutine executes: a table read, a
// table write or a query to another host.
type operation struct {
	entry *entry
	kind  operationKind
	write table.Write
	// queriedClaim is the claim of another host; set for operationPeerQuery.
	queriedClaim booking.Claim
	queuedAt     time.Time
}

func (o *operation) isWrite() bool {
	return o.kind == operationClaim || o.kind == operationRelease || o.kind == operationOutcome
}

func (e *entry) newClaimWrite(now time.Time) operation {
	return e.newWrite(operationClaim, booking.Claim{Token: e.token, Host: e.host, Start: e.start, ClaimedAt: now})
}

// newReleaseWrite returns a write that keeps the key taken with the outcome NotRun.
func (e *entry) newReleaseWrite(token booking.ClaimToken, now time.Time) operation {
	return e.newWrite(operationRelease, booking.Claim{
		Token: token, Host: e.host, Start: e.start, ClaimedAt: now,
		Outcome: &booking.Outcome{Verdict: verdict.NotRun},
	})
}

func (e *entry) newDeleteWrite() operation {
	return operation{kind: operationRelease, write: table.Write{Key: e.tableKey, Expected: e.lastRecord.version, Delete: true}}
}

func (e *entry) newWrite(kind operationKind, claim booking.Claim) operation {
	value, err := encodeClaim(claim)
	if err != nil {
		// The struct holds only strings, times and bytes, which always encode.
		panic(err)
	}
	return operation{kind: kind, write: table.Write{Key: e.tableKey, Expected: e.lastRecord.version, Value: value}}
}

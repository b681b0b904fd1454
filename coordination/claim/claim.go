// Package claim makes requests that may not be repeated run at most once. A
// claim is a conditional insert into the platform's table before dispatch.
package claim

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// The rules of request ids and claims.
const (
	// MaxRequestIDAge is the age from which a request id is refused.
	MaxRequestIDAge = 24 * time.Hour
	// MaxRequestIDClockSkew is how far ahead of this host's clock a request id may be.
	MaxRequestIDClockSkew = 5 * time.Minute
	// Lifetime is how long a claim stays in the table. It exceeds MaxRequestIDAge and
	// MaxRequestIDClockSkew together by 55 min, which covers clock differences between hosts.
	Lifetime = 25 * time.Hour
	// MaxResponseBytes is the largest body in bytes that is recorded with an outcome.
	MaxResponseBytes = 64 << 10
)

// The defaults of a Registry.
const (
	defaultGroupWait        = 2 * time.Millisecond
	defaultTransactionRate  = 40 // transactions per second
	defaultTransactionBurst = 20
	defaultGroupLimit       = 64
	defaultInFlight         = 4
	defaultQuestions        = 16
	defaultCapacity         = 4096
	defaultRetainedBytes    = 16 << 20
	defaultOperationLimit   = time.Second
	defaultSettleLimit      = time.Second
	defaultCloseLimit       = 10 * time.Second
)

// A Table is the part of the platform's table that a Registry uses. Reads see
// all transactions that were confirmed before them.
type Table interface {
	// Read returns the records of keys in their order. Absent records have version 0.
	Read(ctx context.Context, keys []table.Key) ([]table.Record, error)
	// Commit carries out a transaction. An error that is table.ErrUnavailable
	// and not table.ErrOutcomeUnknown proves that it had no effect.
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
}

// PeerClient asks other hosts about the claims that they made.
type PeerClient interface {
	// ClaimStatus returns what the given start of the host knows of its claim. A
	// host with another start answers booking.StatusUnknown.
	ClaimStatus(ctx context.Context, host fleet.HostName, start fleet.StartNumber, key booking.Key, token booking.ClaimToken) (booking.ClaimStatus, error)
}

// Counts are the events of a Registry since its start.
type Counts struct {
	// Granted is the number of tickets handed out.
	Granted uint64
	// Transactions and Writes are the transactions sent to the table and the
	// writes in them.
	Transactions, Writes uint64
	// Abandoned is the number of claims given up with an unknown table state.
	Abandoned uint64
	// Replaced is the number of released or abandoned records that were
	// replaced by a new claim.
	Replaced uint64
	// RejectedMessages is the number of messages that a full ring refused.
	RejectedMessages uint64
	// Entries is the number of keys in memory.
	Entries uint64
}

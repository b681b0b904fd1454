package platform

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/persimmonmux/persimmonmux/state/table"
)

// A Client is a client of a Table in the same process. Like a client of the platform's store, it
// learns of a new history of the table from the answers only, so that a write which depends on
// the number of a transaction may meet another transaction with this number.
type Client struct {
	Table *Table

	era atomic.Uint64
}

// Era returns the highest era of the answers so far.
func (c *Client) Era() table.Era { return table.Era(c.era.Load()) }

// Read is Table.Read.
func (c *Client) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	records, err := c.Table.Read(ctx, keys)
	if err == nil {
		c.raiseEra(c.Table.Era())
	}
	return records, err
}

// Commit is Table.Commit. A write whose condition held in another history than the one that the
// client knew of has an unknown outcome.
func (c *Client) Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	known := c.Era()
	results, era, err := c.Table.commit(ctx, transaction, func(current, expected table.Version) bool {
		if expected == 0 || current == 0 {
			return current == expected
		}
		return expected.Era() == known && numberHolds(current, expected)
	})
	if err != nil {
		return nil, err
	}
	c.raiseEra(era)
	if era != known && slices.ContainsFunc(transaction.Writes, func(w table.Write) bool { return !w.Unconditional && w.Expected != 0 }) &&
		slices.ContainsFunc(results, func(r table.WriteResult) bool { return r.Applied }) {
		return nil, fmt.Errorf("commit in era %d, expected era %d: %w", era, known, table.ErrOutcomeUnknown)
	}
	return results, nil
}

// raiseEra records the era of an answer.
func (c *Client) raiseEra(era table.Era) {
	for known := c.era.Load(); uint64(era) > known; known = c.era.Load() {
		c.era.CompareAndSwap(known, uint64(era))
	}
}

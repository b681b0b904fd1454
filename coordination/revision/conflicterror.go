package revision

import (
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/configuration"
)

// A ConflictError says that a change was based on a revision that is not the head.
type ConflictError struct {
	// Expected is the revision that the change was based on.
	Expected configuration.Revision
	// Actual is the head, the highest accepted revision.
	Actual configuration.Revision
}

// Error returns a message with both revisions.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("expected revision %d, but the head is revision %d", c.Expected, c.Actual)
}

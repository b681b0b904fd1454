package revision

import (
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/configuration"
)

// A ConflictError says that a change was meant for a revision that is not the head.
type ConflictError struct {
	// Expected is the revision that the change was meant for.
	Expected configuration.Revision
	// Actual is the head.
	Actual configuration.Revision
}

// Error returns both revisions.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("expected revision %d, but the head is revision %d", c.Expected, c.Actual)
}

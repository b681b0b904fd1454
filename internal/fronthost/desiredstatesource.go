package fronthost

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/platform"
)

// desiredStateSource is where the organisation directory gets the newest desired state.
type desiredStateSource struct {
	cache  *watch.Cache
	reader *watch.StoreReader
}

// Age returns the age of the table that has the desired state.
func (s *desiredStateSource) Age() time.Duration {
	return s.cache.TableAge(platform.OperatorTable)
}

// Refresh reads the changes of that table.
func (s *desiredStateSource) Refresh(ctx context.Context) error {
	return s.reader.Refresh(ctx, platform.OperatorTable)
}

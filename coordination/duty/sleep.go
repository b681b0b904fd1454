package duty

import (
	"context"
	"time"
)

// Sleep waits for the duration or until ctx ends, and reports whether the full
// duration has passed with ctx still active.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(max(duration, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

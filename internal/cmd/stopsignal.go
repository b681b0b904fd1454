package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// untilStopSignal returns a context that ends at the first SIGTERM or SIGINT, or when
// stop is called. A second signal ends the process at once.
func untilStopSignal() (ctx context.Context, stop context.CancelFunc) {
	ctx, stop = signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// stop restores the default action of the signals.
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

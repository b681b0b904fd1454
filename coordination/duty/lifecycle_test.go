package duty

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestCloseWaitsForLoopAndWorkers guards against a loop or worker goroutine that
// is still running when Close returns.
func TestCloseWaitsForLoopAndWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var l Lifecycle
		var ended []string
		result := make(chan error, 1)
		go func() {
			result <- l.Run(context.Background(), func(ctx context.Context) error {
				l.Go(func() {
					<-ctx.Done()
					time.Sleep(time.Second)
					ended = append(ended, "worker")
				})
				<-ctx.Done()
				return ctx.Err()
			})
		}()
		synctest.Wait()
		c.Assert(l.Close(), quicktest.IsNil)
		c.Assert(ended, quicktest.DeepEquals, []string{"worker"})
		c.Assert(<-result, quicktest.IsNil)
		c.Assert(l.Close(), quicktest.IsNil)
	})
}

// TestRunAfterClose guards against a duty that starts although it was closed
// before, and then runs forever.
func TestRunAfterClose(t *testing.T) {
	c := quicktest.New(t)
	var l Lifecycle
	c.Assert(l.Close(), quicktest.IsNil)
	err := l.Run(context.Background(), func(context.Context) error { return errors.New("ran") })
	c.Assert(err, quicktest.ErrorIs, ErrClosed)
}

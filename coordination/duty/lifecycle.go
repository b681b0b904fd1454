// Package duty has what all duties need to start, wait and stop. A duty is a
// single goroutine that owns its state and receives its input through a bounded
// queue (see package ring).
package duty

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by Run if Close was called before or Run was already
// called.
var ErrClosed = errors.New("duty: closed")

// A Lifecycle provides a duty with Run and a Close that waits for Run. A duty
// embeds or holds one and calls Run at most once. The zero value is ready for
// use.
type Lifecycle struct {
	mutex   sync.Mutex
	cancel  context.CancelFunc
	done    chan struct{}
	closed  bool
	workers sync.WaitGroup
}

// Run calls loop with a context that ends with ctx or on Close. It returns loop's
// error after loop and all workers have returned, or nil if that error is
// context.Canceled.
func (l *Lifecycle) Run(ctx context.Context, loop func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mutex.Lock()
	if l.closed || l.done != nil {
		l.mutex.Unlock()
		return ErrClosed
	}
	l.cancel = cancel
	l.done = make(chan struct{})
	l.mutex.Unlock()

	defer close(l.done)
	err := loop(ctx)
	cancel()
	l.workers.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Go runs a slow step of the duty on a worker goroutine, so that the loop does
// not block. Only the loop calls it. The step must return when the context of the
// loop ends.
func (l *Lifecycle) Go(step func()) {
	l.workers.Go(step)
}

// Close ends the context of the loop and waits until Run has returned. It may be
// called more than once. If it is called before Run, Run returns ErrClosed.
func (l *Lifecycle) Close() error {
	l.mutex.Lock()
	l.closed = true
	cancel, done := l.cancel, l.done
	l.mutex.Unlock()
	if done == nil {
		return nil
	}
	cancel()
	<-done
	return nil
}

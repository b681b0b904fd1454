// Package duty has the common start and end of duties. A duty is one goroutine
// that owns its state and is fed by a bounded ring.
package duty

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by Run after Close.
var ErrClosed = errors.New("duty: closed")

// A Lifecycle gives a duty its Run and a Close that waits. The zero value is
// ready for use. A duty embeds or holds one and runs at most once.
type Lifecycle struct {
	mutex   sync.Mutex
	cancel  context.CancelFunc
	done    chan struct{}
	closed  bool
	workers sync.WaitGroup
}

// Run calls loop with a context that ends with ctx or with Close, and returns
// after loop and all workers have returned.
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

// Go runs a slow step of the duty on a worker goroutine. It is called by the
// loop only. The step must return when ctx, the context of the loop, ends.
func (l *Lifecycle) Go(step func()) {
	l.workers.Go(step)
}

// Close ends the duty and waits until Run has returned. It may be called more
// than once, and before Run.
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

package buffering

import (
	"container/list"
	"errors"
	"time"
)

// ErrInterrupted means that the room of a request was needed for others while the request made no
// progress.
var ErrInterrupted = errors.New("request made no progress while the host needed its room")

const (
	// stallTime is how long a request has to be without progress before others get its room.
	stallTime = 300 * time.Millisecond
	// progressBytes is how much of a request has to arrive to count as progress, so that single
	// bytes do not.
	progressBytes = 16 << 10
	// maxWait bounds how long a request waits for room. It is longer than stallTime, so that the
	// room of stalled requests has come back by then.
	maxWait = time.Second
)

// A Holder receives the request of an intake. Its methods neither block nor call the quota.
type Holder interface {
	// Interrupt ends the receiving of the request. The holder refuses the request and resets or
	// closes the intake.
	Interrupt()
	// Drop closes the connection of the holder at once.
	Drop()
}

// An Intake is the part of a Quota that the requests of one connection take, one request at a time:
// from the first byte of a request until it is answered. It belongs to a quota from Open to Close.
// One goroutine receives the requests; Close may be called by any.
type Intake struct {
	// Quota and Holder are set before Open.
	Quota  *Quota
	Holder Holder

	// unmarkedBytes is what has arrived since the last progress. It begins at progressBytes, so
	// that the first byte of a request counts as progress.
	unmarkedBytes int

	// The following fields are guarded by the mutex of the quota.

	taken int64
	// progress is the time of the last progress.
	progress time.Time
	// element is the place in Quota.receiving; nil if the request has arrived whole.
	element *list.Element
	// isOpen says that the intake counts in Quota.intakes.
	isOpen bool
	// isWaiting says that the holder waits for room, which is no lack of progress.
	isWaiting bool
	// isInterrupted says that Holder.Interrupt was called for the request, and isRefused that it was
	// or that the request got no room.
	isInterrupted, isRefused bool
}

// A waiter is an intake that waits for room.
type waiter struct {
	intake *Intake
	bytes  int64
	// result gets one value: nil when the bytes are taken, or an error.
	result chan error
}

// Open adds the intake to its quota. If there are too many, it drops the one that has been without
// progress for longest; if all requests have arrived whole, it returns false instead.
func (i *Intake) Open() bool {
	q := i.Quota
	q.mutex.Lock()
	var dropped *Intake
	if q.MaxIntakes > 0 && q.intakes >= q.MaxIntakes {
		q.refusals++
		if dropped = q.leastActive(); dropped == nil {
			q.mutex.Unlock()
			return false
		}
		dropped.leave()
	}
	q.intakes++
	i.isOpen, i.progress, i.unmarkedBytes = true, time.Now(), progressBytes
	i.element = q.receiving.PushBack(i)
	interrupted := q.serveWaiting()
	q.mutex.Unlock()
	if dropped != nil {
		dropped.Holder.Drop()
	}
	interrupt(interrupted)
	return true
}

// Reserve takes what the intake needs to hold bytes in total. It may wait for room. The error is
// ErrFull or ErrInterrupted.
func (i *Intake) Reserve(bytes int) error {
	q := i.Quota
	q.mutex.Lock()
	missing := missingBytes(bytes, i.taken)
	switch {
	case missing == 0:
		q.mutex.Unlock()
		return nil
	case !i.isOpen || i.isInterrupted:
		q.mutex.Unlock()
		return ErrInterrupted
	}
	w := &waiter{intake: i, bytes: missing, result: make(chan error, 1)}
	q.addWaiter(w)
	interrupted := q.serveWaiting()
	q.mutex.Unlock()
	interrupt(interrupted)
	return w.await()
}

// await returns the result of the waiter, at most after maxWait.
func (w *waiter) await() error {
	select {
	case err := <-w.result:
		return err
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
	}
	q := w.intake.Quota
	q.mutex.Lock()
	if q.removeWaiter(w) {
		w.refuse()
	}
	interrupted := q.serveWaiting()
	q.mutex.Unlock()
	interrupt(interrupted)
	return <-w.result
}

// end ends the wait with a result. The mutex of the quota is held.
func (w *waiter) end(result error) {
	w.intake.isWaiting = false
	w.intake.mark()
	w.result <- result
}

// refuse ends the wait without room. The holder refuses the request, so the intake is the next one
// that is dropped. The mutex of the quota is held.
func (w *waiter) refuse() {
	i := w.intake
	i.Quota.refusals++
	i.release()
	w.end(ErrFull)
	i.isRefused = true
	if i.element != nil {
		i.Quota.receiving.MoveToFront(i.element)
	}
}

// Received counts bytes of the request that have arrived.
func (i *Intake) Received(bytes int) {
	if i.unmarkedBytes += bytes; bytes == 0 || i.unmarkedBytes < progressBytes {
		return
	}
	i.unmarkedBytes = 0
	i.Quota.mutex.Lock()
	defer i.Quota.mutex.Unlock()
	i.mark()
}

// mark records progress. The mutex of the quota is held.
func (i *Intake) mark() {
	i.progress = time.Now()
	if i.element != nil {
		i.Quota.receiving.MoveToBack(i.element)
	}
}

// Complete records that the request has arrived whole: it keeps its room until Reset. It returns
// false if the room is needed for others.
func (i *Intake) Complete() bool {
	q := i.Quota
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !i.isOpen || i.isInterrupted {
		return false
	}
	i.stopReceiving()
	return true
}

// Reset gives the room of the request back, because it is answered, and expects another one.
func (i *Intake) Reset() {
	q := i.Quota
	q.mutex.Lock()
	i.unmarkedBytes = progressBytes
	i.release()
	i.isRefused = false
	if i.isOpen {
		i.stopReceiving()
		i.progress = time.Now()
		i.element = q.receiving.PushBack(i)
	}
	interrupted := q.serveWaiting()
	q.mutex.Unlock()
	interrupt(interrupted)
}

// Close gives all room back and removes the intake from its quota.
func (i *Intake) Close() {
	q := i.Quota
	q.mutex.Lock()
	i.leave()
	interrupted := q.serveWaiting()
	q.mutex.Unlock()
	interrupt(interrupted)
}

// leave removes the intake from its quota. The mutex of the quota is held.
func (i *Intake) leave() {
	if !i.isOpen {
		return
	}
	i.isOpen = false
	i.Quota.intakes--
	i.stopReceiving()
	i.release()
	for _, w := range i.Quota.waiting {
		if w.intake == i {
			i.Quota.removeWaiter(w)
			w.end(ErrInterrupted)
			break
		}
	}
}

// release gives the room back. The mutex of the quota is held.
func (i *Intake) release() {
	q := i.Quota
	q.taken -= i.taken
	q.takenByRequests -= i.taken
	if i.isInterrupted {
		q.withdrawnBytes -= i.taken
	}
	i.taken, i.isInterrupted = 0, false
}

// stopReceiving removes the intake from those that can lose their room. The mutex of the quota is
// held.
func (i *Intake) stopReceiving() {
	if i.element != nil {
		i.Quota.receiving.Remove(i.element)
		i.element = nil
	}
}

package buffering

import (
	"cmp"
	"slices"
	"time"
)

// addWaiter adds a waiter behind those that are at most as large as it with the room they wait for.
// The mutex is held.
func (q *Quota) addWaiter(added *waiter) {
	added.intake.isWaiting = true
	place := slices.IndexFunc(q.waiting, func(w *waiter) bool { return w.size() > added.size() })
	if place < 0 {
		place = len(q.waiting)
	}
	q.waiting = slices.Insert(q.waiting, place, added)
}

// size returns what the intake has taken once it has the room that it waits for.
func (w *waiter) size() int64 { return w.intake.taken + w.bytes }

// removeWaiter removes a waiter and reports whether it was there. The mutex is held.
func (q *Quota) removeWaiter(removed *waiter) bool {
	place := slices.Index(q.waiting, removed)
	if place < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, place, place+1)
	return true
}

// serveWaiting gives room to those that wait, the smallest first. If there is too little for the
// next one, it withdraws the room of requests without progress. It returns the intakes whose holders
// have to be interrupted once the mutex, which is held, is free.
func (q *Quota) serveWaiting() []*Intake {
	var interrupted []*Intake
	for len(q.waiting) > 0 {
		next := q.waiting[0]
		if q.hasRoom(next, 0) {
			q.waiting = q.waiting[1:]
			q.taken += next.bytes
			q.takenByRequests += next.bytes
			next.intake.taken += next.bytes
			next.end(nil)
			continue
		}
		if q.hasRoom(next, q.withdrawnBytes) {
			break
		}
		stalled, delay := q.longestStalled()
		switch {
		case stalled == nil && q.isDeadlocked():
			q.refuseLargestHolder()
			continue
		case stalled == nil:
		case delay > 0:
			q.scheduleReview(delay)
		default:
			q.withdraw(stalled)
			interrupted = append(interrupted, stalled)
			continue
		}
		break
	}
	return interrupted
}

// hasRoom reports whether the waiter's bytes can be taken once comingBytes have come back. A request
// that is alone gets its room in any case. The mutex is held.
func (q *Quota) hasRoom(w *waiter, comingBytes int64) bool {
	requests := q.takenByRequests - comingBytes
	if requests == w.intake.taken {
		return true
	}
	if q.MaxRequestBytes > 0 && requests+w.bytes > q.MaxRequestBytes {
		return false
	}
	return q.taken-comingBytes+w.bytes <= q.MaxBytes
}

// longestStalled returns the intake with room that has been without progress for longest and does
// not wait itself, and how long it takes until it counts as stalled. The mutex is held.
func (q *Quota) longestStalled() (*Intake, time.Duration) {
	for e := q.receiving.Front(); e != nil; e = e.Next() {
		i := e.Value.(*Intake)
		if i.taken > 0 && !i.isWaiting && !i.isInterrupted {
			return i, stallTime - time.Since(i.progress)
		}
	}
	return nil, 0
}

// leastActive returns the intake to drop for another one: one that was refused or is stalled, then
// the largest of those that wait for room, then the one without progress for longest. It returns nil
// if all requests have arrived whole. The mutex is held.
func (q *Quota) leastActive() *Intake {
	for e := q.receiving.Front(); e != nil; e = e.Next() {
		if i := e.Value.(*Intake); !i.isWaiting && (i.isRefused || time.Since(i.progress) >= stallTime) {
			return i
		}
	}
	if len(q.waiting) > 0 {
		return q.waiting[len(q.waiting)-1].intake
	}
	if e := q.receiving.Front(); e != nil {
		return e.Value.(*Intake)
	}
	return nil
}

// isDeadlocked reports whether all room of requests is held by those that wait for more. The mutex
// is held.
func (q *Quota) isDeadlocked() bool {
	var held int64
	for _, w := range q.waiting {
		held += w.intake.taken
	}
	return held > 0 && held == q.takenByRequests-q.withdrawnBytes
}

// refuseLargestHolder refuses the one of those that wait which holds most, and gives its room back.
// The mutex is held.
func (q *Quota) refuseLargestHolder() {
	largest := slices.MaxFunc(q.waiting, func(a, b *waiter) int { return cmp.Compare(a.intake.taken, b.intake.taken) })
	q.removeWaiter(largest)
	largest.refuse()
}

// withdraw marks the room of an intake as coming back. The mutex is held.
func (q *Quota) withdraw(i *Intake) {
	i.isInterrupted, i.isRefused = true, true
	q.withdrawnBytes += i.taken
	q.refusals++
	q.receiving.MoveToFront(i.element)
}

// scheduleReview runs review after the delay. The mutex is held.
func (q *Quota) scheduleReview(delay time.Duration) {
	if q.timer == nil {
		q.timer = time.AfterFunc(delay, q.review)
		return
	}
	q.timer.Reset(delay)
}

// review serves those that wait because the time has come at which a request counts as stalled.
func (q *Quota) review() {
	q.mutex.Lock()
	interrupted := q.serveWaiting()
	q.mutex.Unlock()
	interrupt(interrupted)
}

// interrupt interrupts the holders of intakes whose room was withdrawn.
func interrupt(intakes []*Intake) {
	for _, i := range intakes {
		i.Holder.Interrupt()
	}
}

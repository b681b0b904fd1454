package claim

import (
	"container/heap"
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A message is sent to the duty by a request goroutine. Exactly one of claim
// and question is set, or neither when callers withdrew from a key.
type message struct {
	claim     *attempt
	question  *question
	withdrawn booking.Key
}

// A question asks for the status of a claim.
type question struct {
	key   booking.Key
	token booking.ClaimToken
	// reply has room for the one answer.
	reply chan booking.ClaimStatus
}

// A report is the result of a worker goroutine.
type report struct {
	operations []*operation
	// writes and reads hold one result for each operation when err is nil.
	writes []table.WriteResult
	reads  []table.Record
	status booking.ClaimStatus
	err    error
}

// A loop is the state that the Registry's duty owns.
type loop struct {
	registry *Registry
	// pace allows the transactions of TransactionRate and TransactionBurst.
	pace *rate.Limiter
	// work is the context of the table transactions and questions.
	work     context.Context
	entries  map[booking.Key]*entry
	timers   wakeHeap
	attempts int
	// retained is the size of the answers that wait to be recorded.
	retained int
	// writes, reads and questions wait for a worker; each entry is in at most one.
	writes, reads, questions []*operation
	transactions, asking     int
	stopping                 bool
}

// run is the body of the duty.
func (l *loop) run(ctx context.Context) error {
	r := l.registry
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	l.work = work
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stop := ctx.Done()
	var closeLimit <-chan time.Time
	for !l.stopping || len(l.entries) > 0 {
		l.launch(time.Now())
		timer.Reset(l.untilNext(time.Now()))
		select {
		case m := <-r.messages.Messages():
			l.handle(m, time.Now())
		case resolved := <-r.resolutions.Messages():
			l.resolve(resolved, time.Now())
		case finished := <-r.reports.Messages():
			l.take(finished, time.Now())
		case <-timer.C:
		case <-stop:
			stop = nil
			l.stopping = true
			limit := time.NewTimer(r.settings.CloseTimeout)
			defer limit.Stop()
			closeLimit = limit.C
			for _, e := range l.sorted() {
				l.step(e, time.Now())
			}
		case <-closeLimit:
			l.end()
			return ctx.Err()
		}
		l.expire(time.Now())
	}
	l.end()
	return ctx.Err()
}

// end answers everybody who still waits. It is the last step of the loop.
func (l *loop) end() {
	for _, e := range l.sorted() {
		e.refuse(verdict.CodeStopping, 0, nil)
		e.reply(verdict.NewMayHaveRun(verdict.CodeStopping, nil, "outcome of request %s was not recorded before the stop", e.key.Request))
	}
}

func (l *loop) sorted() []*entry {
	found := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		found = append(found, e)
	}
	return found
}

func (l *loop) handle(m message, now time.Time) {
	switch {
	case m.claim != nil:
		l.add(m.claim, now)
	case m.question != nil:
		status := booking.StatusUnknown
		if e, ok := l.entries[m.question.key]; ok {
			status = e.status(m.question.token)
		}
		m.question.reply <- status
	default:
		if e, ok := l.entries[m.withdrawn]; ok {
			l.step(e, now)
		}
	}
}

// add takes in an attempt, or refuses it where a bound is reached.
func (l *loop) add(a *attempt, now time.Time) {
	if l.stopping {
		a.settle(attemptAnswer{failure: a.refusal(verdict.CodeStopping, 0, nil)})
		return
	}
	e, known := l.entries[a.key]
	if l.attempts >= l.registry.settings.Capacity || !known && len(l.entries) >= l.registry.settings.Capacity {
		a.settle(attemptAnswer{failure: a.refusal(verdict.CodeOverloaded, time.Second, nil)})
		return
	}
	if !known {
		e = newEntry(a.key, l.registry.Host, l.registry.Start)
		l.entries[a.key] = e
	}
	if e.phase == phaseIdle && len(e.abandoned) >= maximumAbandoned {
		a.settle(attemptAnswer{failure: a.refusal(verdict.CodeTableUnavailable, time.Second, nil)})
		return
	}
	a.contested.Store(e.phase == phaseHeld && e.status(e.token) == booking.StatusRunning)
	e.attempts = append(e.attempts, a)
	l.step(e, now)
}

// resolve takes in the outcome of a held claim.
func (l *loop) resolve(r *resolution, now time.Time) {
	e, ok := l.entries[r.key]
	if !ok || e.phase != phaseHeld || e.token != r.token || e.resolution != nil {
		r.reply <- verdict.NewMayHaveRun(verdict.CodeInternal, nil, "claim of request %s is not held under this ticket", r.key.Request)
		return
	}
	r.outcome, r.retained = recordable(r.outcome, l.registry.settings.RetainedBytesLimit-l.retained)
	e.resolution = r
	e.due = time.Time{}
	l.step(e, now)
}

// step carries an entry on until it waits.
func (l *loop) step(e *entry, now time.Time) {
	if !e.busy {
		e.giveUp(now, l.registry.settings.TableFailureTimeout)
		o := e.next(now, l.stopping)
		if o.kind != operationNone {
			l.queue(e, o, now)
		}
	} else {
		e.prune(now)
	}
	l.account(e)
	if e.over() {
		l.timers.remove(e)
		delete(l.entries, e.key)
	} else {
		l.timers.set(e, e.nextWake(now))
	}
	l.registry.counts.entries.Store(uint64(len(l.entries)))
}

// account brings the totals up to date with the entry.
func (l *loop) account(e *entry) {
	current := entryTotals{attempts: len(e.attempts), abandoned: e.givenUp}
	if e.resolution != nil {
		current.retained = e.resolution.retained
	}
	l.attempts += current.attempts - e.counted.attempts
	l.retained += current.retained - e.counted.retained
	l.registry.counts.abandoned.Add(current.abandoned - e.counted.abandoned)
	e.counted = current
}

func (l *loop) queue(e *entry, o operation, now time.Time) {
	o.entry, o.queued = e, now
	e.busy = true
	switch {
	case o.writes():
		l.writes = append(l.writes, &o)
	case o.kind == operationRead:
		l.reads = append(l.reads, &o)
	default:
		l.questions = append(l.questions, &o)
	}
}

// launch starts worker goroutines for the operations that are ready.
func (l *loop) launch(now time.Time) {
	settings := l.registry.settings
	for l.transactions < settings.InFlightLimit && len(l.reads) > 0 {
		l.startRead(take(&l.reads, settings.GroupWriteLimit))
	}
	for l.transactions < settings.InFlightLimit && l.groupReady(now) {
		l.startCommit(take(&l.writes, settings.GroupWriteLimit))
	}
	for l.asking < settings.PeerQueryLimit && len(l.questions) > 0 {
		l.startQuestion(take(&l.questions, 1))
	}
}

// groupReady says that the first write waited long enough or the group is full,
// and that the table's share of this host allows another transaction.
func (l *loop) groupReady(now time.Time) bool {
	if len(l.writes) == 0 {
		return false
	}
	settings := l.registry.settings
	if l.stopping {
		return true
	}
	grouped := len(l.writes) >= settings.GroupWriteLimit || now.Sub(l.writes[0].queued) >= settings.GroupCommitDelay
	return grouped && l.pace.TokensAt(now) >= 1
}

// untilNext returns how long the duty may wait without a message.
func (l *loop) untilNext(now time.Time) time.Duration {
	wait := time.Hour
	if len(l.writes) > 0 && l.transactions < l.registry.settings.InFlightLimit {
		wait = l.writes[0].queued.Add(l.registry.settings.GroupCommitDelay).Sub(now)
		if missing := 1 - l.pace.TokensAt(now); missing > 0 {
			// The added millisecond covers the rounding of tokens.
			paced := time.Duration(missing/l.registry.settings.TransactionRate*float64(time.Second)) + time.Millisecond
			wait = max(wait, paced)
		}
	}
	if len(l.timers) > 0 {
		wait = min(wait, l.timers[0].wake.Sub(now))
	}
	return max(wait, 0)
}

// expire steps the entries whose time has come.
func (l *loop) expire(now time.Time) {
	for len(l.timers) > 0 && !now.Before(l.timers[0].wake) {
		e := l.timers[0]
		l.timers.remove(e)
		l.step(e, now)
	}
}

func (l *loop) startCommit(group []*operation) {
	l.transactions++
	l.pace.AllowN(time.Now(), 1)
	transaction := table.Transaction{Independent: true, Writes: make([]table.Write, len(group))}
	for i, o := range group {
		transaction.Writes[i] = o.write
	}
	r := l.registry
	r.counts.transactions.Add(1)
	r.counts.writes.Add(uint64(len(group)))
	r.lifecycle.Go(func() {
		ctx, cancel := context.WithTimeout(l.work, r.settings.OperationTimeout)
		defer cancel()
		results, err := r.Table.Commit(ctx, transaction)
		if err == nil && len(results) != len(group) {
			err = table.ErrOutcomeUnknown
		}
		r.reports.Offer(report{operations: group, writes: results, err: err})
	})
}

func (l *loop) startRead(group []*operation) {
	l.transactions++
	keys := make([]table.Key, len(group))
	for i, o := range group {
		keys[i] = o.entry.tableKey
	}
	r := l.registry
	r.lifecycle.Go(func() {
		ctx, cancel := context.WithTimeout(l.work, r.settings.OperationTimeout)
		defer cancel()
		records, err := r.Table.Read(ctx, keys)
		if err == nil && len(records) != len(group) {
			err = table.ErrUnavailable
		}
		r.reports.Offer(report{operations: group, reads: records, err: err})
	})
}

func (l *loop) startQuestion(group []*operation) {
	l.asking++
	r := l.registry
	key, asked := group[0].entry.key, group[0].asked
	r.lifecycle.Go(func() {
		ctx, cancel := context.WithTimeout(l.work, r.settings.OperationTimeout)
		defer cancel()
		status, err := r.Peers.ClaimStatus(ctx, asked.Host, asked.Start, key, asked.Token)
		if err != nil {
			status = booking.StatusUnknown
		}
		r.reports.Offer(report{operations: group, status: status})
	})
}

// take takes in the result of a worker goroutine.
func (l *loop) take(finished report, now time.Time) {
	if finished.operations[0].kind == operationAsk {
		l.asking--
	} else {
		l.transactions--
	}
	for i, o := range finished.operations {
		e := o.entry
		e.busy = false
		phase := e.phase
		switch {
		case o.kind == operationAsk:
			e.answered(o.asked.Token, finished.status)
		case finished.err != nil:
			proved := errors.Is(finished.err, table.ErrUnavailable) && !errors.Is(finished.err, table.ErrOutcomeUnknown)
			e.lost(o, !proved, finished.err, now)
		case o.kind == operationRead:
			l.takeRead(o, finished.reads[i], now)
		default:
			l.takeWrite(o, finished.writes[i], now)
		}
		l.count(e, o, phase)
		l.step(e, now)
	}
}

func (l *loop) takeRead(o *operation, r table.Record, now time.Time) {
	seen, err := decodeRecord(r)
	if err != nil {
		o.entry.lost(o, false, err, now)
		return
	}
	o.entry.observe(seen)
}

func (l *loop) takeWrite(o *operation, result table.WriteResult, now time.Time) {
	seen, err := decodeRecord(result.Current)
	if err != nil {
		o.entry.lost(o, true, err, now)
		return
	}
	o.entry.wrote(o, result.Applied, seen, now)
}

// count counts what one result brought about.
func (l *loop) count(e *entry, o *operation, before phase) {
	if o.kind == operationClaim && before == phaseClaiming && e.phase == phaseHeld && o.write.Expected != 0 {
		l.registry.counts.replaced.Add(1)
	}
}

// take removes and returns the first operations of a queue.
func take(queue *[]*operation, limit int) []*operation {
	n := min(limit, len(*queue))
	group := slices.Clone((*queue)[:n])
	*queue = slices.Delete(*queue, 0, n)
	return group
}

// A wakeHeap orders entries by the time of their next step.
type wakeHeap []*entry

// Len is the number of entries with a time.
func (h wakeHeap) Len() int { return len(h) }

// Less orders by time.
func (h wakeHeap) Less(i, j int) bool { return h[i].wake.Before(h[j].wake) }

// Swap keeps the indexes of the entries.
func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is called by container/heap only.
func (h *wakeHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop is called by container/heap only.
func (h *wakeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	last.index = -1
	return last
}

// set puts the entry at its time; a zero time removes it.
func (h *wakeHeap) set(e *entry, wake time.Time) {
	if wake.IsZero() {
		h.remove(e)
		return
	}
	e.wake = wake
	if e.index < 0 {
		heap.Push(h, e)
		return
	}
	heap.Fix(h, e.index)
}

func (h *wakeHeap) remove(e *entry) {
	if e.index >= 0 {
		heap.Remove(h, e.index)
	}
}

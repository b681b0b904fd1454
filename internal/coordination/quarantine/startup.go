package quarantine

import (
	"context"
	"sync"
	"time"
)

const (
	// startPeers is the number of hosts that a new host asks before its first request. Some of
	// them may have just started too.
	startPeers = 5
	// startTimeout bounds how long requests of a new host wait for the evidence of others.
	startTimeout = 300 * time.Millisecond
)

// AwaitEvidence waits until this host has asked some others what they know, which it does once
// the view lists them, until startTimeout has passed since the first call, or until ctx ends. A
// host that has just started would otherwise send requests that all others refuse.
func (q *Quarantine) AwaitEvidence(ctx context.Context) {
	q.prepare()
	select {
	case <-q.asked:
		return
	default:
	}
	q.askOnce.Do(func() {
		q.lifecycle.Go(func() {
			defer close(q.asked)
			// The context of the first request may end before the others have replied.
			limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
			defer cancel()
			q.askOthers(limited)
		})
	})
	select {
	case <-q.asked:
	case <-ctx.Done():
	}
}

// askOthers exchanges evidence with startPeers hosts at once, waits for their replies, and for
// the evidence to be in force.
func (q *Quarantine) askOthers(ctx context.Context) {
	if q.Peers == nil {
		return
	}
	var group sync.WaitGroup
	for _, address := range q.choosePeers(startPeers) {
		group.Go(func() { q.exchangeWith(ctx, address) })
	}
	group.Wait()
	applied := make(barrier)
	if !q.messages.Offer(applied) {
		return
	}
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

// A barrier is closed when the messages before it are in force.
type barrier chan struct{}

func (barrier) apply(*ledger, time.Time) bool { return false }

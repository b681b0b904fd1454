// Package completion tells the owners of engines at once which requests have ended there, so
// that the adapters that these used can make room for others.
package completion

import (
	"context"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// ringCapacity is the number of ended requests that may wait for the duty. One that does
	// not fit is in the host's next report to the owner.
	ringCapacity = 1024
	// collectDuration is how long ended requests are collected for one message to an owner.
	collectDuration = 30 * time.Millisecond
	// sendTimeout bounds one message. A later one would say no more than the host's next
	// report.
	sendTimeout = 500 * time.Millisecond
)

// ViewSource returns the newest view of the site.
type ViewSource interface {
	View() *site.View
}

// Owner receives the ended requests on engines that this host owns.
type Owner interface {
	UpdateEndedRuns(runs []site.EndedRuns)
}

// Peers sends ended requests to other owners.
type Peers interface {
	// ReportEndedRuns sends the ended requests to the owner at the address.
	ReportEndedRuns(ctx context.Context, address string, runs []site.EndedRuns) error
}

// A Notifier is the duty that tells owners of ended requests. Its exported fields are set
// before Run.
type Notifier struct {
	// Self is the name of this host.
	Self  string
	Views ViewSource
	Owner Owner
	Peers Peers

	lifecycle duty.Lifecycle
	once      sync.Once
	ended     *ring.Ring[endedRun]
}

// An endedRun is a request for an adapter that has ended on an engine.
type endedRun struct {
	zone    string
	server  site.ServerID
	adapter site.Adapter
}

func (n *Notifier) prepare() {
	n.once.Do(func() { n.ended = ring.New[endedRun](ringCapacity) })
}

// RecordEnd records that a request for the adapter has ended on the engine. It does not wait.
func (n *Notifier) RecordEnd(server *site.Server, adapter site.Adapter) {
	n.prepare()
	n.ended.Offer(endedRun{zone: server.Zone, server: server.ID, adapter: adapter})
}

// Run sends messages until ctx ends or Close is called.
func (n *Notifier) Run(ctx context.Context) error {
	n.prepare()
	return n.lifecycle.Run(ctx, n.loop)
}

// Close ends the duty and waits until it has ended.
func (n *Notifier) Close() error {
	return n.lifecycle.Close()
}

func (n *Notifier) loop(ctx context.Context) error {
	collected := make(map[endedRun]int)
	timer := time.NewTimer(collectDuration)
	timer.Stop()
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case run := <-n.ended.Messages():
			if len(collected) == 0 {
				timer.Reset(collectDuration)
			}
			collected[run]++
		case <-timer.C:
			n.send(ctx, collected)
			clear(collected)
		}
	}
}

// send tells the owner of each zone of the requests that have ended there. Requests in a zone
// without an owner are left out: its next owner learns the running ones from reports.
func (n *Notifier) send(ctx context.Context, collected map[endedRun]int) {
	byOwner := make(map[*site.Host][]site.EndedRuns)
	owners := n.Views.View().Owners
	for run, count := range collected {
		if owner := owners[run.zone]; owner != nil {
			byOwner[owner] = append(byOwner[owner], site.EndedRuns{Server: run.server, Adapter: run.adapter, Count: count})
		}
	}
	for owner, runs := range byOwner {
		if owner.Name == n.Self {
			n.Owner.UpdateEndedRuns(runs)
			continue
		}
		n.lifecycle.Go(func() {
			limited, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			// A lost message is made up for by the host's next report.
			_ = n.Peers.ReportEndedRuns(limited, owner.Address, runs)
		})
	}
}

package ownership

import (
	"context"
	"fmt"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A pendingHandOver is a planned hand-over in progress.
type pendingHandOver struct {
	ctx      context.Context
	to       fleet.HostName
	transfer func(context.Context) (fleet.Epoch, error)
	// grantingStopped says that all orders are answered, nothing is granted any
	// more, and the transfer of the lease is in progress.
	grantingStopped bool
	reply           chan handOverReply
}

// A handOverReply is the result of a call of HandOver.
type handOverReply struct {
	handOver fleet.HandOver
	err      error
}

// HandOver stops loads and unloads, waits until all orders are answered, stops
// granting, calls transfer, and returns the instances and grants for the next
// owner to adopt. After an error this owner resumes its work; otherwise it
// refuses all grant requests with a NotOwnerError that names the next owner.
// transfer passes the lease to the next owner and returns the new epoch.
func (o *Owner) HandOver(ctx context.Context, to fleet.HostName, transfer func(context.Context) (fleet.Epoch, error)) (fleet.HandOver, error) {
	o.setup()
	h := &pendingHandOver{ctx: ctx, to: to, transfer: transfer, reply: make(chan handOverReply, 1)}
	if !o.messages.Offer(h) {
		return fleet.HandOver{}, fmt.Errorf("hand-over of engine %s: the owner's message ring is full", o.Engine.Name)
	}
	select {
	case r := <-h.reply:
		return r.handOver, r.err
	case <-o.ended:
		select {
		case r := <-h.reply:
			return r.handOver, r.err
		default:
			return fleet.HandOver{}, fmt.Errorf("hand-over of engine %s: the owner has ended", o.Engine.Name)
		}
	}
}

func (h *pendingHandOver) handle(_ context.Context, o *Owner, _ time.Time) {
	if o.pendingHandOver != nil || o.superseded {
		h.reply <- handOverReply{err: fmt.Errorf("hand-over of engine %s: another hand-over is in progress or a later owner exists", o.Engine.Name)}
		return
	}
	o.pendingHandOver = h
	o.cancelPermits()
}

// advanceHandOver starts the transfer of the lease once all orders are answered,
// and aborts the hand-over if its context ends before that.
func (o *Owner) advanceHandOver(ctx context.Context, now time.Time) {
	h := o.pendingHandOver
	if h == nil || h.grantingStopped {
		return
	}
	if err := h.ctx.Err(); err != nil {
		o.abortHandOver(ctx, fmt.Errorf("hand-over of engine %s: orders are unanswered: %w", o.Engine.Name, err), now)
		return
	}
	if o.unansweredOrders > 0 {
		return
	}
	h.grantingStopped = true
	o.lifecycle.Go(func() {
		bounded, cancel := context.WithCancel(h.ctx)
		defer cancel()
		stop := context.AfterFunc(ctx, cancel)
		defer stop()
		epoch, err := h.transfer(bounded)
		o.postResult(ctx, transferResult{epoch: epoch, err: err})
	})
}

// abortHandOver ends a hand-over with an error; this owner resumes granting and
// loading.
func (o *Owner) abortHandOver(ctx context.Context, err error, now time.Time) {
	o.pendingHandOver.reply <- handOverReply{err: err}
	o.pendingHandOver = nil
	o.permitContext, o.cancelPermits = context.WithCancel(ctx)
	o.serveQueues(now)
}

// A transferResult is the result of the transfer of the lease.
type transferResult struct {
	epoch fleet.Epoch
	err   error
}

func (r transferResult) handle(ctx context.Context, o *Owner, now time.Time) {
	if r.err != nil {
		o.abortHandOver(ctx, fmt.Errorf("hand-over of engine %s: %w", o.Engine.Name, r.err), now)
		return
	}
	h := o.pendingHandOver
	handOver := fleet.HandOver{Engine: o.Engine.Name, Epoch: r.epoch, Start: o.engineStart, From: o.Host}
	for _, e := range o.residencies {
		if e.state == stateResident && e.grantable {
			handOver.Instances = append(handOver.Instances, e.instance)
		}
	}
	for request, pins := range o.pins {
		for _, p := range pins {
			// A grant that has ended stays in the list, because its request may
			// still run; the next owner cancels it.
			handOver.Grants = append(handOver.Grants, fleet.Grant{
				Engine: o.Engine.Name, EngineStart: o.engineStart, Address: o.Engine.Address, Instance: p.residency.instance,
				Epoch: o.Epoch, RunID: request, Holder: p.holder, Duration: max(p.end.Sub(now), time.Millisecond),
			})
		}
	}
	o.superseded, o.nextOwner = true, h.to
	for adapter := range o.queues {
		o.refuseQueue(adapter, newNotOwnerRefusal(o.Engine.Name, h.to))
	}
	h.reply <- handOverReply{handOver: handOver}
}

package ownership

import (
	"context"
	"fmt"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A handing is a planned hand-over in progress.
type handing struct {
	ctx      context.Context
	to       fleet.HostName
	transfer func(context.Context) (fleet.Epoch, error)
	// frozen says that all orders are answered and nothing is granted.
	frozen bool
	reply  chan handingReply
}

// A handingReply ends a hand-over.
type handingReply struct {
	handOver fleet.HandOver
	err      error
}

// HandOver stops loads and unloads, waits until all orders are answered, stops
// granting, calls transfer, and returns what the next owner adopts. After an
// error the owner goes on; otherwise it refuses all demands and names the next
// owner. transfer passes the lease to the next owner and returns its epoch.
func (o *Owner) HandOver(ctx context.Context, to fleet.HostName, transfer func(context.Context) (fleet.Epoch, error)) (fleet.HandOver, error) {
	o.setup()
	h := &handing{ctx: ctx, to: to, transfer: transfer, reply: make(chan handingReply, 1)}
	if !o.messages.Offer(h) {
		return fleet.HandOver{}, fmt.Errorf("hand-over of engine %s: the owner's ring is full", o.Engine.Name)
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

func (h *handing) handle(_ context.Context, o *Owner, _ time.Time) {
	if o.handing != nil || o.superseded {
		h.reply <- handingReply{err: fmt.Errorf("hand-over of engine %s: already handed over", o.Engine.Name)}
		return
	}
	o.handing = h
	o.cancelAcquire()
}

// proceedHandover starts the transfer once all orders are answered.
func (o *Owner) proceedHandover(ctx context.Context, now time.Time) {
	h := o.handing
	if h == nil || h.frozen {
		return
	}
	if err := h.ctx.Err(); err != nil {
		o.abandonHandover(ctx, fmt.Errorf("hand-over of engine %s: orders are unanswered: %w", o.Engine.Name, err), now)
		return
	}
	if o.inFlight > 0 {
		return
	}
	h.frozen = true
	o.lifecycle.Go(func() {
		bounded, cancel := context.WithCancel(h.ctx)
		defer cancel()
		stop := context.AfterFunc(ctx, cancel)
		defer stop()
		epoch, err := h.transfer(bounded)
		o.post(ctx, transferred{epoch: epoch, err: err})
	})
}

// abandonHandover goes on as the owner.
func (o *Owner) abandonHandover(ctx context.Context, err error, now time.Time) {
	o.handing.reply <- handingReply{err: err}
	o.handing = nil
	o.acquire, o.cancelAcquire = context.WithCancel(ctx)
	o.serveQueues(now)
}

// transferred is the result of a transfer.
type transferred struct {
	epoch fleet.Epoch
	err   error
}

func (r transferred) handle(ctx context.Context, o *Owner, now time.Time) {
	if r.err != nil {
		o.abandonHandover(ctx, fmt.Errorf("hand-over of engine %s: %w", o.Engine.Name, r.err), now)
		return
	}
	h := o.handing
	handOver := fleet.HandOver{Engine: o.Engine.Name, Epoch: r.epoch, Start: o.start, From: o.Host}
	for _, e := range o.entries {
		if e.state == stateResident && e.usable {
			handOver.Instances = append(handOver.Instances, e.instance)
		}
	}
	for request, pins := range o.pins {
		for _, p := range pins {
			// A grant that has ended stays in the list, because its request may
			// still run; the next owner cancels it.
			handOver.Grants = append(handOver.Grants, fleet.Grant{
				Engine: o.Engine.Name, EngineStart: o.start, Address: o.Engine.Address, Instance: p.entry.instance,
				Epoch: o.Epoch, Request: request, Holder: p.holder, Duration: max(p.end.Sub(now), time.Millisecond),
			})
		}
	}
	o.superseded, o.moved = true, h.to
	for adapter := range o.queues {
		o.refuseQueue(adapter, refuseNotOwner(o.Engine.Name, h.to))
	}
	h.reply <- handingReply{handOver: handOver}
}

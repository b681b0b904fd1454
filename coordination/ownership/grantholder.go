package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A GrantHolder is the duty that keeps the grants of this host as their holder. It
// stands before the owners of engines as a dispatch.GrantProvider. Its fields are set
// before Run and not changed afterwards.
type GrantHolder struct {
	// Owners reaches the owner of each engine.
	Owners dispatch.GrantProvider

	lifecycle duty.Lifecycle
	prepare   sync.Once
	messages  *ring.Ring[holderMessage]
	ended     chan struct{}
	end       sync.Once

	// The fields below belong to the goroutine of Run.

	holds map[fleet.EngineName][]hold
	// epochs holds the highest epoch that asked for the grants of an engine.
	epochs map[fleet.EngineName]fleet.Epoch
}

// A hold is a grant with its end on this host's clock.
type hold struct {
	grant fleet.Grant
	end   time.Time
}

// A holderMessage is handled on the goroutine of Run.
type holderMessage interface {
	handle(h *GrantHolder, now time.Time)
}

func (h *GrantHolder) setup() {
	h.prepare.Do(func() {
		h.messages = ring.New[holderMessage](ringCapacity)
		h.ended = make(chan struct{})
		h.holds = make(map[fleet.EngineName][]hold)
		h.epochs = make(map[fleet.EngineName]fleet.Epoch)
	})
}

// Run keeps grants until ctx ends or Close is called.
func (h *GrantHolder) Run(ctx context.Context) error {
	h.setup()
	defer h.end.Do(func() { close(h.ended) })
	return h.lifecycle.Run(ctx, h.loop)
}

// Close ends the duty and waits until it has ended.
func (h *GrantHolder) Close() error {
	return h.lifecycle.Close()
}

// AcquireGrant asks the owner for a grant and keeps it. The grant is counted from
// before the demand was sent. A grant of an owner that has been replaced is
// refused: its successor has asked already and does not know of it.
func (h *GrantHolder) AcquireGrant(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error) {
	h.setup()
	sent := time.Now()
	grant, err := h.Owners.AcquireGrant(ctx, demand)
	if err != nil {
		return grant, err
	}
	reply := make(chan bool, 1)
	if h.send(keep{hold: hold{grant: grant, end: sent.Add(grant.Duration)}, reply: reply}) {
		select {
		case kept := <-reply:
			if kept {
				return grant, nil
			}
		case <-h.ended:
		}
	}
	h.Owners.Release(grant)
	return fleet.Grant{}, verdict.NewNotRun(verdict.CodeNoGrant, "grant on engine %s with epoch %d is not in force", grant.Engine, grant.Epoch)
}

// Release forgets a grant and then releases it at the owner.
func (h *GrantHolder) Release(grant fleet.Grant) {
	h.setup()
	// If the ring is full, the grant is reported until its end.
	h.send(forget{grant: grant})
	h.Owners.Release(grant)
}

// Holdings returns the grants on an engine of owners before the epoch, with
// their remaining durations. From then on no grant of such an owner is kept.
// Its error means that the grants are not known.
func (h *GrantHolder) Holdings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch) ([]fleet.Grant, error) {
	h.setup()
	reply := make(chan []fleet.Grant, 1)
	if !h.send(question{engine: engine, epoch: epoch, reply: reply}) {
		return nil, verdict.NewNotRun(verdict.CodeOverloaded, "holder of grants has too many messages")
	}
	select {
	case grants := <-reply:
		return grants, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-h.ended:
		return nil, duty.ErrClosed
	}
}

func (h *GrantHolder) send(m holderMessage) bool {
	return h.messages.Offer(m)
}

func (h *GrantHolder) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-h.messages.Messages():
			m.handle(h, time.Now())
		}
	}
}

// keep is the message of AcquireGrant.
type keep struct {
	hold  hold
	reply chan bool
}

func (k keep) handle(h *GrantHolder, now time.Time) {
	engine := k.hold.grant.Engine
	if k.hold.grant.Epoch < h.epochs[engine] || !now.Before(k.hold.end) {
		k.reply <- false
		return
	}
	h.holds[engine] = append(h.current(engine, now), k.hold)
	k.reply <- true
}

// current returns the grants on an engine that have not ended.
func (h *GrantHolder) current(engine fleet.EngineName, now time.Time) []hold {
	return slices.DeleteFunc(h.holds[engine], func(x hold) bool { return !now.Before(x.end) })
}

// forget is the message of Release.
type forget struct {
	grant fleet.Grant
}

func (f forget) handle(h *GrantHolder, _ time.Time) {
	holds := h.holds[f.grant.Engine]
	i := slices.IndexFunc(holds, func(x hold) bool {
		return x.grant.Request == f.grant.Request && x.grant.Instance == f.grant.Instance && x.grant.Epoch == f.grant.Epoch
	})
	if i >= 0 {
		h.holds[f.grant.Engine] = slices.Delete(holds, i, i+1)
	}
	if len(h.holds[f.grant.Engine]) == 0 {
		delete(h.holds, f.grant.Engine)
	}
}

// question is the message of Holdings.
type question struct {
	engine fleet.EngineName
	epoch  fleet.Epoch
	reply  chan []fleet.Grant
}

func (q question) handle(h *GrantHolder, now time.Time) {
	h.epochs[q.engine] = max(h.epochs[q.engine], q.epoch)
	h.holds[q.engine] = h.current(q.engine, now)
	var grants []fleet.Grant
	for _, x := range h.holds[q.engine] {
		if x.grant.Epoch < q.epoch {
			g := x.grant
			g.Duration = x.end.Sub(now)
			grants = append(grants, g)
		}
	}
	q.reply <- grants
}

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

// A GrantHolder records the grants that this host holds, so that it can list them
// to a new owner of an engine. It implements dispatch.GrantProvider with grants
// from the owners of the engines. The exported fields are set before Run and not
// changed afterwards.
type GrantHolder struct {
	// Owners gets grants from, and releases them at, the owner of each engine.
	Owners dispatch.GrantProvider

	lifecycle duty.Lifecycle
	setupOnce sync.Once
	messages  *ring.Ring[holderMessage]
	ended     chan struct{}
	endOnce   sync.Once

	// The fields below belong to the goroutine of Run.

	held map[fleet.EngineName][]heldGrant
	// latestEpochs holds, for each engine, the latest epoch whose owner has
	// queried Holdings. Grants of earlier epochs are no longer accepted.
	latestEpochs map[fleet.EngineName]fleet.Epoch
}

// A heldGrant is a grant with its end on the clock of this host.
type heldGrant struct {
	grant fleet.Grant
	end   time.Time
}

// A holderMessage is a call of a GrantHolder method that the goroutine of Run handles.
type holderMessage interface {
	handle(h *GrantHolder, now time.Time)
}

func (h *GrantHolder) setup() {
	h.setupOnce.Do(func() {
		h.messages = ring.New[holderMessage](ringCapacity)
		h.ended = make(chan struct{})
		h.held = make(map[fleet.EngineName][]heldGrant)
		h.latestEpochs = make(map[fleet.EngineName]fleet.Epoch)
	})
}

// Run records grants until ctx ends or Close is called.
func (h *GrantHolder) Run(ctx context.Context) error {
	h.setup()
	defer h.endOnce.Do(func() { close(h.ended) })
	return h.lifecycle.Run(ctx, h.loop)
}

// Close ends Run and waits until it has ended. Grants that arrive afterwards are
// released and refused.
func (h *GrantHolder) Close() error {
	return h.lifecycle.Close()
}

// AcquireGrant gets a grant from the owner and records it. The duration of the
// grant counts from the time before the request was sent, so that it does not end
// later here than at the owner. A grant of an owner that has been replaced is
// released and refused, because the new owner has already queried this host and
// does not know of the grant.
func (h *GrantHolder) AcquireGrant(ctx context.Context, request dispatch.GrantRequest) (fleet.Grant, error) {
	h.setup()
	sent := time.Now()
	grant, err := h.Owners.AcquireGrant(ctx, request)
	if err != nil {
		return grant, err
	}
	reply := make(chan bool, 1)
	if h.send(keepMessage{held: heldGrant{grant: grant, end: sent.Add(grant.Duration)}, reply: reply}) {
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

// Release removes a grant from the record and then releases it at the owner.
func (h *GrantHolder) Release(grant fleet.Grant) {
	h.setup()
	// If the ring is full, Holdings goes on listing the grant until its end.
	h.send(forgetMessage{grant: grant})
	h.Owners.Release(grant)
}

// Holdings returns the held grants on an engine with epochs before the given one,
// with their remaining durations. Grants of those epochs that arrive afterwards
// are refused. An error means that the held grants are not known.
func (h *GrantHolder) Holdings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch) ([]fleet.Grant, error) {
	h.setup()
	reply := make(chan []fleet.Grant, 1)
	if !h.send(holdingsMessage{engine: engine, epoch: epoch, reply: reply}) {
		return nil, verdict.NewNotRun(verdict.CodeOverloaded, "the message ring of the grant holder is full")
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

// keepMessage is the message of AcquireGrant. Its reply is false when the grant
// is refused.
type keepMessage struct {
	held  heldGrant
	reply chan bool
}

func (k keepMessage) handle(h *GrantHolder, now time.Time) {
	engine := k.held.grant.Engine
	if k.held.grant.Epoch < h.latestEpochs[engine] || !now.Before(k.held.end) {
		k.reply <- false
		return
	}
	h.held[engine] = append(h.unexpired(engine, now), k.held)
	k.reply <- true
}

// unexpired returns the held grants on an engine that have not ended.
func (h *GrantHolder) unexpired(engine fleet.EngineName, now time.Time) []heldGrant {
	return slices.DeleteFunc(h.held[engine], func(x heldGrant) bool { return !now.Before(x.end) })
}

// forgetMessage is the message of Release.
type forgetMessage struct {
	grant fleet.Grant
}

func (f forgetMessage) handle(h *GrantHolder, _ time.Time) {
	holds := h.held[f.grant.Engine]
	i := slices.IndexFunc(holds, func(x heldGrant) bool {
		return x.grant.RunID == f.grant.RunID && x.grant.Instance == f.grant.Instance && x.grant.Epoch == f.grant.Epoch
	})
	if i >= 0 {
		h.held[f.grant.Engine] = slices.Delete(holds, i, i+1)
	}
	if len(h.held[f.grant.Engine]) == 0 {
		delete(h.held, f.grant.Engine)
	}
}

// holdingsMessage is the message of Holdings.
type holdingsMessage struct {
	engine fleet.EngineName
	epoch  fleet.Epoch
	reply  chan []fleet.Grant
}

func (q holdingsMessage) handle(h *GrantHolder, now time.Time) {
	h.latestEpochs[q.engine] = max(h.latestEpochs[q.engine], q.epoch)
	h.held[q.engine] = h.unexpired(q.engine, now)
	var grants []fleet.Grant
	for _, x := range h.held[q.engine] {
		if x.grant.Epoch < q.epoch {
			g := x.grant
			g.Duration = x.end.Sub(now)
			grants = append(grants, g)
		}
	}
	q.reply <- grants
}

package ownership

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cenkalti/backoff/v5"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// AcceptHandOver accepts the lease of a planned hand-over and adopts its instances
// and grants. When it returns nil, this host owns the engine.
func (m *Manager) AcceptHandOver(ctx context.Context, handOver fleet.HandOver) error {
	m.setup()
	engine, ok := m.findEngine(handOver.Engine)
	if !ok {
		return fmt.Errorf("hand-over of engine %s: the engine is not in the failure domain of this host", handOver.Engine)
	}
	if _, err := m.call(func(reply chan error) managerMessage { return expectLeaseMessage{engine: engine.Name, reply: reply} }); err != nil {
		return fmt.Errorf("hand-over of engine %s: %w", engine.Name, err)
	}
	if err := m.Leases.AcceptTransfer(ctx, LeaseName(engine.Name), handOver.Epoch); err != nil {
		return fmt.Errorf("hand-over of engine %s: %w", engine.Name, err)
	}
	_, err := m.call(func(reply chan error) managerMessage {
		return managerAdoptMessage{engine: engine, handOver: handOver, reply: reply}
	})
	return err
}

// HandOverAll hands all engines over to their next candidates and stops competing
// for leases. It returns when all hand-overs have ended, with the errors of those
// that failed. An engine whose hand-over failed stays owned; another call retries
// it.
func (m *Manager) HandOverAll(ctx context.Context) error {
	m.setup()
	called, err := m.call(func(reply chan error) managerMessage {
		return handOverAllMessage{ctx: ctx, reply: reply}
	})
	if !called {
		return fmt.Errorf("hand over all engines: %w", err)
	}
	return err
}

// managerAdoptMessage is the message of AcceptHandOver, sent once the lease is
// accepted.
type managerAdoptMessage struct {
	engine   fleet.Engine
	handOver fleet.HandOver
	reply    chan error
}

func (a managerAdoptMessage) handle(ctx context.Context, m *Manager) {
	o := m.owners[a.engine.Name]
	if o == nil || o.Epoch < a.handOver.Epoch {
		if o != nil {
			m.closeOwner(a.engine.Name, func() {})
		}
		o = m.startOwner(ctx, a.engine, a.handOver.Epoch, PreviousHolder{Host: a.handOver.From})
	}
	a.reply <- o.AcceptHandOver(a.handOver)
}

// handOverAllMessage is the message of HandOverAll.
type handOverAllMessage struct {
	ctx   context.Context
	reply chan error
}

func (s handOverAllMessage) handle(ctx context.Context, m *Manager) {
	m.stopping = true
	for name := range m.requestedRanks {
		if m.owners[name] == nil && m.Leases.Release(LeaseName(name)) {
			delete(m.requestedRanks, name)
		}
	}
	m.handOverAllReplies = append(m.handOverAllReplies, s.reply)
	hosts := slices.DeleteFunc(slices.Clone(m.FailureDomain.Hosts()), func(h fleet.Host) bool { return h.Name == m.Host.Name })
	for name, o := range m.owners {
		if !o.handingOver.CompareAndSwap(false, true) {
			continue
		}
		m.handOversInFlight++
		candidates := CandidateHosts(name, hosts)
		m.lifecycle.Go(func() {
			r := m.handOverEngine(s.ctx, o, candidates)
			select {
			case m.results <- r:
			case <-ctx.Done():
			}
		})
	}
	m.replyHandOverAll()
}

// handOverEngine hands an engine over to the first candidate. Without candidates it
// closes the Owner and releases the lease. It runs on a worker goroutine.
func (m *Manager) handOverEngine(ctx context.Context, o *Owner, candidates []fleet.Host) engineHandOverResult {
	r := engineHandOverResult{owner: o}
	name := LeaseName(o.Engine.Name)
	if len(candidates) == 0 {
		_ = o.Close()
		m.Leases.Release(name)
		return r
	}
	to := candidates[0]
	handOver, err := o.HandOver(ctx, to.Name, func(ctx context.Context) (fleet.Epoch, error) {
		return m.Leases.Transfer(ctx, name, to.Name, to.Start)
	})
	if err != nil {
		r.err = err
		return r
	}
	r.to = to.Name
	// The lease has moved, so the next owner is sent the instances and grants even
	// if HandOverAll stops waiting.
	_, err = backoff.Retry(context.WithoutCancel(ctx), func() (struct{}, error) {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.settings.OrderTimeout)
		defer cancel()
		return struct{}{}, m.HandOverSender.HandOver(bounded, to, handOver)
	}, backoff.WithMaxTries(handOverTries))
	if err != nil {
		m.Logger.Warn().Err(err).Str("engine", string(o.Engine.Name)).Str("next owner", string(to.Name)).
			Msg("the next owner did not confirm the hand-over; it will take the engine over without the lists of instances and grants")
	}
	_ = o.Close()
	return r
}

// An engineHandOverResult is the result of handOverEngine.
type engineHandOverResult struct {
	owner *Owner
	// to is the next owner; empty when there was none or after an error.
	to  fleet.HostName
	err error
}

func (r engineHandOverResult) handle(_ context.Context, m *Manager) {
	m.handOversInFlight--
	r.owner.handingOver.Store(false)
	name := r.owner.Engine.Name
	if r.err != nil {
		m.handOverErrors = append(m.handOverErrors, r.err)
		if r.owner.leaseLost && m.owners[name] == r.owner {
			m.closeOwner(name, func() {})
		}
	} else {
		if r.to != "" {
			m.nextOwners[name] = r.to
		}
		if m.owners[name] == r.owner {
			delete(m.owners, name)
		}
		delete(m.requestedRanks, name)
		m.publishDirectory()
	}
	m.replyHandOverAll()
}

// replyHandOverAll ends the calls of HandOverAll when no hand-over is in flight.
func (m *Manager) replyHandOverAll() {
	if m.handOversInFlight > 0 {
		return
	}
	for _, reply := range m.handOverAllReplies {
		reply <- errors.Join(m.handOverErrors...)
	}
	m.handOverAllReplies, m.handOverErrors = nil, nil
}

// expectLeaseMessage marks the lease of a hand-over as requested, because the lease
// may be gained before the hand-over is adopted.
type expectLeaseMessage struct {
	engine fleet.EngineName
	reply  chan error
}

func (e expectLeaseMessage) handle(_ context.Context, m *Manager) {
	if m.stopping {
		e.reply <- errors.New("this host is stopping")
		return
	}
	m.requestedRanks[e.engine] = 0
	e.reply <- nil
}

package lease

import (
	"context"
	"errors"
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// An operation is a call of Transfer, or of AcceptTransfer when acceptedEpoch is
// not 0.
type operation struct {
	name          Name
	to            fleet.HostName
	start         fleet.StartNumber
	acceptedEpoch fleet.Epoch
	reply         chan operationReply
}

// An operationReply is the result of an operation, for the waiting caller.
type operationReply struct {
	epoch fleet.Epoch
	err   error
}

// Transfer passes a held lease to the given process with the epoch raised by one
// and returns the new epoch. The lease is not valid from the call on. After an
// error other than ErrUnresolved it is valid again if it was valid before.
func (m *Manager) Transfer(ctx context.Context, name Name, to fleet.HostName, start fleet.StartNumber) (fleet.Epoch, error) {
	if to == m.Host && start == m.Start {
		return 0, fmt.Errorf("transfer of lease %s to its holder: %w", name, ErrNotHeld)
	}
	return m.runOperation(ctx, operation{name: name, to: to, start: start})
}

// AcceptTransfer takes a lease that another host transferred to this process with
// the given epoch. When it returns nil, the lease is valid.
func (m *Manager) AcceptTransfer(ctx context.Context, name Name, epoch fleet.Epoch) error {
	_, err := m.runOperation(ctx, operation{name: name, acceptedEpoch: epoch})
	return err
}

// runOperation queues a transfer or an accepted transfer and waits for its
// outcome.
func (m *Manager) runOperation(ctx context.Context, o operation) (fleet.Epoch, error) {
	m.setup()
	o.reply = make(chan operationReply, 1)
	if !m.messages.Offer(o) {
		return 0, fmt.Errorf("lease %s: %w", o.name, ErrBusy)
	}
	select {
	case r := <-o.reply:
		return r.epoch, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("lease %s: %w: %w", o.name, ErrUnresolved, ctx.Err())
	case <-m.ended:
		select {
		case r := <-o.reply:
			return r.epoch, r.err
		default:
			return 0, fmt.Errorf("lease %s: %w", o.name, ErrBusy)
		}
	}
}

func (o operation) handle(_ context.Context, m *Manager) {
	if len(m.queuedOperations) >= messageCapacity {
		o.reply <- operationReply{err: fmt.Errorf("lease %s: %w", o.name, ErrBusy)}
		return
	}
	m.queuedOperations = append(m.queuedOperations, o)
}

// startOperations starts the queued operations whose records no worker accesses,
// as long as fewer than maxOperations are in flight.
func (m *Manager) startOperations(ctx context.Context) {
	waiting := m.queuedOperations[:0]
	for _, o := range m.queuedOperations {
		if l := m.leases[o.name]; l != nil && l.accessPending || m.pendingOperations >= maxOperations {
			waiting = append(waiting, o)
			continue
		}
		if o.acceptedEpoch != 0 {
			m.startAccept(ctx, o)
		} else {
			m.startTransfer(ctx, o)
		}
	}
	m.queuedOperations = waiting
}

// An operationResult carries the outcome of an operation from its worker to the
// goroutine of Run.
type operationResult struct {
	operation operation
	lease     *lease
	// observation is the record as the table returned it last, or nil if the table
	// did not answer.
	observation *observation
	err         error
}

// startTransfer starts a worker that writes the new holder into the record. The
// lease is not valid until the outcome is known.
func (m *Manager) startTransfer(ctx context.Context, o operation) {
	l := m.leases[o.name]
	if l == nil || !l.held || l.releasing || l.unresolvedVersion != 0 {
		o.reply <- operationReply{err: fmt.Errorf("transfer of lease %s: %w", o.name, ErrNotHeld)}
		return
	}
	version := l.version
	l.unresolvedVersion, m.publishPending = version, true
	transfer := l.record.nextHolderRecord(o.to, o.start, m.Duration, 0, version, m.era)
	number := m.nextWriteNumber()
	renewed := l.record
	renewed.WriteNumber, renewed.Era = number, m.era
	m.publishValidLeases()
	m.startWorker(l, func() operationResult {
		r := operationResult{operation: o, lease: l}
		r.observation, r.err = m.replaceRecord(ctx, o.name, version, transfer)
		if r.err == nil || errors.Is(r.err, table.ErrUnavailable) {
			return r
		}
		if r.observation != nil && r.observation.record.Version == version {
			// The transfer may still take effect. A renewal on the same version
			// makes it fail, or fails itself because of it.
			r.observation, r.err = m.replaceRecord(ctx, o.name, version, renewed)
		}
		return r
	})
}

// startAccept starts a worker that renews a record which names this process as
// the holder with the accepted epoch.
func (m *Manager) startAccept(ctx context.Context, o operation) {
	l := m.markWanted(o.name, 0)
	if l.held && l.reportedEpoch == o.acceptedEpoch {
		m.publishValidLeases()
		o.reply <- operationReply{epoch: o.acceptedEpoch}
		return
	}
	number := m.nextWriteNumber()
	m.startWorker(l, func() operationResult {
		r := operationResult{operation: o, lease: l}
		records, err := m.read(ctx, []table.Key{o.name.Key()})
		if err != nil {
			r.err = err
			return r
		}
		r.observation = &observation{record: records[0], at: m.now()}
		record, err := decode(records[0])
		// A copy of the transfer may be older than a holder that followed in a lost history.
		isCopy := record.Era < m.Table.Era()
		if err != nil || !m.isOwn(record) || record.Epoch != o.acceptedEpoch || isCopy {
			r.err = errors.Join(err, ErrNotHeld)
			return r
		}
		// The transfer may have been seen by others before this read, so the
		// lease is counted from a write of this host.
		record.WriteNumber, record.DurationMilliseconds, record.Era = number, m.Duration.Milliseconds(), m.Table.Era()
		r.observation, r.err = m.replaceRecord(ctx, o.name, records[0].Version, record)
		return r
	})
}

// nextWriteNumber returns the number of a new write and records the present time
// as the time before it is sent.
func (m *Manager) nextWriteNumber() uint64 {
	m.lastWriteNumber++
	m.sentAt[m.lastWriteNumber] = m.now()
	return m.lastWriteNumber
}

// startWorker runs the accesses of an operation on a worker goroutine.
func (m *Manager) startWorker(l *lease, step func() operationResult) {
	l.accessPending = true
	m.pendingOperations++
	m.lifecycle.Go(func() {
		m.results <- step()
	})
}

// replaceRecord replaces the given version of a record and reads the record back
// if the reply is lost. The error is nil if the table returned a record that
// shows whether the write took effect. After any other error but
// table.ErrUnavailable the write may still take effect.
func (m *Manager) replaceRecord(ctx context.Context, name Name, version table.Version, record Record) (*observation, error) {
	results, err := m.commit(ctx, table.Transaction{Writes: []table.Write{
		{Key: name.Key(), Expected: version, Value: record.encode()},
	}})
	if err == nil {
		return &observation{record: results[0].Current, at: m.now()}, nil
	}
	if errors.Is(err, table.ErrUnavailable) {
		return nil, err
	}
	records, readErr := m.read(ctx, []table.Key{name.Key()})
	if readErr != nil {
		return nil, err
	}
	o := &observation{record: records[0], at: m.now()}
	if records[0].Version == version {
		return o, err
	}
	return o, nil
}

func (r operationResult) handle(_ context.Context, m *Manager) {
	now := m.now()
	l, o := r.lease, r.operation
	l.accessPending = false
	m.pendingOperations--
	epoch := l.reportedEpoch
	if errors.Is(r.err, table.ErrUnavailable) && r.observation == nil && o.acceptedEpoch == 0 {
		// Nothing was written.
		l.unresolvedVersion = 0
	}
	if r.observation != nil {
		m.applyObservation(l, r.observation.record, r.observation.at, now)
	}
	l.nextAccess, m.publishPending = now, true
	reply := m.replyTo(o, l, epoch, r.err)
	// The caller may ask Valid as soon as it has the reply.
	m.publishValidLeases()
	o.reply <- reply
}

// replyTo returns the reply to an operation according to the record. epoch is the
// epoch that this host held before the outcome was known.
func (m *Manager) replyTo(o operation, l *lease, epoch fleet.Epoch, err error) operationReply {
	if o.acceptedEpoch != 0 {
		if l.held && l.reportedEpoch == o.acceptedEpoch {
			return operationReply{epoch: o.acceptedEpoch}
		}
		return operationReply{err: fmt.Errorf("accepted transfer of lease %s with epoch %d: %w", o.name, o.acceptedEpoch, errors.Join(err, ErrNotHeld))}
	}
	r := l.record
	if r.Holder == o.to && r.Start == o.start && r.Epoch == epoch+1 {
		l.wanted = false
		return operationReply{epoch: r.Epoch}
	}
	if l.unresolvedVersion != 0 {
		return operationReply{err: fmt.Errorf("transfer of lease %s: %w: %w", o.name, ErrUnresolved, err)}
	}
	if err == nil {
		err = ErrNotHeld
	}
	return operationReply{err: fmt.Errorf("transfer of lease %s: %w", o.name, err)}
}

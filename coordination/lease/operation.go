package lease

import (
	"context"
	"errors"
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// An operation is a transfer, or an adoption when adopt is not 0.
type operation struct {
	name  Name
	to    fleet.HostName
	start fleet.StartNumber
	adopt fleet.Epoch
	reply chan operationReply
}

// An operationReply ends an operation.
type operationReply struct {
	epoch fleet.Epoch
	err   error
}

func (o operation) handle(_ context.Context, k *Manager) {
	if len(k.queue) >= ringCapacity {
		o.reply <- operationReply{err: fmt.Errorf("lease %s: %w", o.name, ErrBusy)}
		return
	}
	k.queue = append(k.queue, o)
}

// startOperations starts the queued operations whose leases are not busy.
func (k *Manager) startOperations(ctx context.Context) {
	waiting := k.queue[:0]
	for _, o := range k.queue {
		if l := k.leases[o.name]; l != nil && l.busy || k.operations >= operationLimit {
			waiting = append(waiting, o)
			continue
		}
		if o.adopt != 0 {
			k.startAdoption(ctx, o)
		} else {
			k.startTransfer(ctx, o)
		}
	}
	k.queue = waiting
}

// An operationResult brings the end of an operation back to the duty.
type operationResult struct {
	operation operation
	lease     *lease
	// observation is set if the table said what the record is.
	observation *observation
	err         error
}

func (k *Manager) startTransfer(ctx context.Context, o operation) {
	l := k.leases[o.name]
	if l == nil || !l.held || l.releasing || l.barred != 0 {
		o.reply <- operationReply{err: fmt.Errorf("transfer of lease %s: %w", o.name, ErrNotHeld)}
		return
	}
	version := l.version
	l.barred, k.changed = version, true
	transfer := l.record.next(o.to, o.start, k.Duration, 0)
	number := k.numbered()
	renewed := l.record
	renewed.WriteNumber = number
	k.work(l, func() operationResult {
		r := operationResult{operation: o, lease: l}
		r.observation, r.err = k.replace(ctx, o.name, version, transfer)
		if r.err == nil || errors.Is(r.err, table.ErrUnavailable) {
			return r
		}
		if r.observation != nil && r.observation.record.Version == version {
			// The transfer may still take effect. A renewal on the same version
			// makes it fail, or fails itself because of it.
			r.observation, r.err = k.replace(ctx, o.name, version, renewed)
		}
		return r
	})
}

func (k *Manager) startAdoption(ctx context.Context, o operation) {
	l := k.lease(o.name, 0)
	if l.held && l.tenure == o.adopt {
		o.reply <- operationReply{epoch: o.adopt}
		return
	}
	number := k.numbered()
	k.work(l, func() operationResult {
		r := operationResult{operation: o, lease: l}
		records, err := k.read(ctx, []table.Key{o.name.Key()})
		if err != nil {
			r.err = err
			return r
		}
		r.observation = &observation{record: records[0], at: k.now()}
		record, err := decode(records[0])
		if err != nil || !k.mine(record) || record.Epoch != o.adopt {
			r.err = errors.Join(err, ErrNotHeld)
			return r
		}
		// The transfer may have been seen by others before this read, so the
		// lease is counted from a write of this host.
		record.WriteNumber, record.DurationMilliseconds = number, k.Duration.Milliseconds()
		r.observation, r.err = k.replace(ctx, o.name, records[0].Version, record)
		return r
	})
}

// numbered returns a number for a write that is sent from now on.
func (k *Manager) numbered() uint64 {
	k.writes++
	k.sent[k.writes] = k.now()
	return k.writes
}

func (k *Manager) work(l *lease, step func() operationResult) {
	l.busy = true
	k.operations++
	k.lifecycle.Go(func() {
		k.results <- step()
	})
}

// replace writes a record on a version and reads it back if the reply is lost.
// The error is nil if the table said what the record is and the write did not
// remain unknown.
func (k *Manager) replace(ctx context.Context, name Name, version table.Version, record Record) (*observation, error) {
	results, err := k.commit(ctx, table.Transaction{Writes: []table.Write{
		{Key: name.Key(), Expected: version, Value: record.encode()},
	}})
	if err == nil {
		return &observation{record: results[0].Current, at: k.now()}, nil
	}
	if errors.Is(err, table.ErrUnavailable) {
		return nil, err
	}
	records, readErr := k.read(ctx, []table.Key{name.Key()})
	if readErr != nil {
		return nil, err
	}
	o := &observation{record: records[0], at: k.now()}
	if records[0].Version == version {
		return o, err
	}
	return o, nil
}

func (r operationResult) handle(_ context.Context, k *Manager) {
	now := k.now()
	l, o := r.lease, r.operation
	l.busy = false
	k.operations--
	tenure := l.tenure
	if errors.Is(r.err, table.ErrUnavailable) && r.observation == nil && o.adopt == 0 {
		// Nothing was written.
		l.barred = 0
	}
	if r.observation != nil {
		k.observe(l, r.observation.record, r.observation.at, now)
	}
	l.due, k.changed = now, true
	o.reply <- k.answer(o, l, tenure, r.err)
}

// answer says how the operation ended, from what is known of the record.
func (k *Manager) answer(o operation, l *lease, tenure fleet.Epoch, err error) operationReply {
	if o.adopt != 0 {
		if l.held && l.tenure == o.adopt {
			return operationReply{epoch: o.adopt}
		}
		return operationReply{err: fmt.Errorf("adoption of lease %s with epoch %d: %w", o.name, o.adopt, errors.Join(err, ErrNotHeld))}
	}
	r := l.record
	if r.Holder == o.to && r.Start == o.start && r.Epoch == tenure+1 {
		l.wanted = false
		return operationReply{epoch: r.Epoch}
	}
	if l.barred != 0 {
		return operationReply{err: fmt.Errorf("transfer of lease %s: %w: %w", o.name, ErrUnresolved, err)}
	}
	if err == nil {
		err = ErrNotHeld
	}
	return operationReply{err: fmt.Errorf("transfer of lease %s: %w", o.name, err)}
}

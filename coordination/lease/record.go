package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// A Name names a lease within one table.
type Name string

// Key returns the key of the lease's record.
func (n Name) Key() table.Key {
	return table.Key("lease/" + string(n))
}

// A Record is the value of a lease in the platform's table, as JSON. Records are
// never deleted, because a new record would begin again with epoch 1.
type Record struct {
	// Holder is the host that holds the lease; empty after a release.
	Holder fleet.HostName `json:"holder"`
	// Start identifies the process of Holder.
	Start fleet.StartNumber `json:"start"`
	// Epoch is at least 1 and grows with each change of holder: by one, or to the epoch that
	// lowestEpoch returns. It does not change with a release.
	Epoch fleet.Epoch `json:"epoch"`
	// PreviousHolder and PreviousStart identify the process that held the lease
	// before, with the epoch before Epoch; PreviousHolder is empty for epoch 1. In
	// a released record they identify the process that released it.
	PreviousHolder fleet.HostName    `json:"former,omitempty"`
	PreviousStart  fleet.StartNumber `json:"former-start,omitempty"`
	// Released means that PreviousHolder released the lease itself.
	Released bool `json:"released,omitempty"`
	// DurationMilliseconds is the holder's lease duration in milliseconds. Other
	// hosts wait for this time if it is longer than their own, because hosts with
	// different settings may share a table.
	DurationMilliseconds int64 `json:"duration-milliseconds"`
	// Era is the era of the table that the writer knew. A record with an earlier era than that of
	// the table may be a copy: other holders may have followed in a history that is lost.
	Era table.Era `json:"era,omitempty"`
	// IsPredecessorUnknown means that the lease was taken over from a record with an earlier era.
	IsPredecessorUnknown bool `json:"predecessor-unknown,omitempty"`
	// WriteNumber numbers the writes of the holder's process, so that the holder
	// knows which of its writes it reads back. It is 0 in a record that was written
	// by another host.
	WriteNumber uint64 `json:"write"`
}

// encode returns the JSON form.
func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		// A struct of strings and numbers always has a JSON form.
		panic(err)
	}
	return value
}

// decode parses the JSON form. An absent record gives the zero Record.
func decode(record table.Record) (Record, error) {
	if record.Version == 0 {
		return Record{}, nil
	}
	var r Record
	if err := json.Unmarshal(record.Value, &r); err != nil {
		return Record{}, fmt.Errorf("lease record %s: %w", record.Key, err)
	}
	if r.Epoch == 0 {
		return Record{}, fmt.Errorf("lease record %s: the epoch is missing", record.Key)
	}
	return r, nil
}

// epochBits is the number of bits of an epoch that count the holders within one era. It is the
// number of bits of a transaction in a version.
const epochBits = 40

// lowestEpoch returns the lowest epoch with which a lease is taken over whose record has the
// version, or is absent, in the given era. It follows from the version and not from the record:
// a late write of an earlier era may have replaced the record of a holder, but not lowered its
// version. No two holders replace the same version, and none of an earlier era had the epoch.
func lowestEpoch(version table.Version, era table.Era) fleet.Epoch {
	if era == 0 {
		return 1
	}
	return fleet.Epoch(era)<<epochBits + fleet.Epoch(version.Transaction()) + 1
}

// nextHolderRecord returns the record with which the given process takes the
// lease over in the given era. version is that of the record that it replaces.
func (r Record) nextHolderRecord(holder fleet.HostName, start fleet.StartNumber, duration time.Duration, write uint64, version table.Version, era table.Era) Record {
	n := Record{
		Holder:               holder,
		Start:                start,
		Epoch:                max(r.Epoch+1, lowestEpoch(version, era)),
		Era:                  era,
		IsPredecessorUnknown: r.Era < era,
		PreviousHolder:       r.Holder,
		PreviousStart:        r.Start,
		DurationMilliseconds: duration.Milliseconds(),
		WriteNumber:          write,
	}
	if r.Holder == "" {
		n.PreviousHolder, n.PreviousStart, n.Released = r.PreviousHolder, r.PreviousStart, r.Epoch > 0
	}
	return n
}

// releasedRecord returns the record with which the holder releases the lease in the given era.
func (r Record) releasedRecord(era table.Era) Record {
	return Record{Epoch: r.Epoch, Era: era, PreviousHolder: r.Holder, PreviousStart: r.Start, Released: true, DurationMilliseconds: r.DurationMilliseconds}
}

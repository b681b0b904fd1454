package zone

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	standin "github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// A lossyTable has one row. Commits of the numbers in lost, from 1, get no answer. They are
// carried out after lateDelay if their condition holds then.
type lossyTable struct {
	lost      map[int]bool
	lateDelay time.Duration

	mutex   sync.Mutex
	commits int
	row     table.Record
}

func (l *lossyTable) Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.commits++
	if !l.lost[l.commits] {
		return []table.WriteResult{l.apply(transaction.Writes[0])}, nil
	}
	time.AfterFunc(l.lateDelay, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.apply(transaction.Writes[0])
	})
	return nil, table.ErrOutcomeUnknown
}

// loseNext makes the next commit get no answer.
func (l *lossyTable) loseNext() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lost[l.commits+1] = true
}

// apply carries out a write if its condition holds. The mutex must be held.
func (l *lossyTable) apply(write table.Write) table.WriteResult {
	applied := write.Unconditional || write.Expected == l.row.Version
	if applied {
		l.row = table.Record{Key: write.Key, Version: l.row.Version + 1, Value: write.Value}
	}
	return table.WriteResult{Applied: applied, Current: l.row}
}

// Era returns the era of the row's version. The table has no other rows.
func (l *lossyTable) Era() table.Era {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.row.Version.Era()
}

// ownedZones returns the zones of the row.
func (l *lossyTable) ownedZones(c *quicktest.C) map[string]uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var host site.Host
	c.Assert(json.Unmarshal(l.row.Value, &host), quicktest.IsNil)
	return host.OwnedZones
}

// startOwner runs the Elector of host "host" of zone "east", which gains the lease of its zone with
// epoch 2, for 10 s. The returned function closes it.
func startOwner(c *quicktest.C, f *fakePlatform, rows Table) (stop func()) {
	elector := &Elector{
		Host: site.Host{Name: "host", Zone: "east"}, Leases: f, LeaseEvents: f.events, Views: f, Owners: f, Table: rows,
		LinkMegabits: 200, Log: zerolog.Nop(),
	}
	done := make(chan error, 1)
	go func() { done <- elector.Run(context.Background()) }()
	time.Sleep(checkInterval)
	f.setEpoch(LeaseName("east"), 2, "")
	time.Sleep(10 * time.Second)
	return func() {
		c.Assert(elector.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	}
}

// TestLateRegistrationDoesNotReplaceNewerOne guards against a zone that has no owner for good,
// because a write of the owner's row without the zone got no answer and was carried out after
// the write with the zone.
func TestLateRegistrationDoesNotReplaceNewerOne(t *testing.T) {
	for _, test := range []struct {
		name string
		row  table.Record
		lost map[int]bool
	}{
		{"no row, first write late", table.Record{}, map[int]bool{1: true}},
		{"row of an earlier process, first write late", table.Record{Version: 5, Value: []byte(`{}`)}, map[int]bool{1: true}},
		{"row of an earlier process, second write late", table.Record{Version: 5, Value: []byte(`{}`)}, map[int]bool{2: true}},
		{"several writes late", table.Record{Version: 5, Value: []byte(`{}`)}, map[int]bool{1: true, 2: true, 3: true}},
	} {
		for _, lateDelay := range []time.Duration{0, 900 * time.Millisecond, 4500 * time.Millisecond} {
			t.Run(test.name+" by "+lateDelay.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					f := newFakePlatform()
					f.events = ring.New[lease.Event](4)
					rows := &lossyTable{lost: test.lost, lateDelay: lateDelay, row: test.row}
					defer startOwner(c, f, rows)()
					c.Check(rows.ownedZones(c), quicktest.DeepEquals, map[string]uint64{"east": 2})
					const mostCommits = 8
					c.Check(rows.commits <= mostCommits, quicktest.IsTrue, quicktest.Commentf("%d writes", rows.commits))
				})
			})
		}
	}
}

// TestLateRegistrationDoesNotReplaceUnchangedOne guards against a zone that has no owner for
// good, or the wrong one, because the write of another row got no answer and was carried out
// after the host had returned to the row that it knew as written. A lease that expires and is
// renewed keeps its epoch.
func TestLateRegistrationDoesNotReplaceUnchangedOne(t *testing.T) {
	const zone = "east"
	for _, test := range []struct {
		name string
		// epochs are those of the lease of the zone, one after another; 0 means that it is not
		// valid. The write of the second one gets no answer.
		epochs [3]fleet.Epoch
		want   map[string]uint64
	}{
		{"lease expires and is renewed", [3]fleet.Epoch{2, 0, 2}, map[string]uint64{zone: 2}},
		{"lease is gained and expires", [3]fleet.Epoch{0, 2, 0}, nil},
	} {
		for _, lateDelay := range []time.Duration{0, 900 * time.Millisecond, 4500 * time.Millisecond} {
			t.Run(test.name+", write late by "+lateDelay.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					f := newFakePlatform()
					f.events = ring.New[lease.Event](4)
					f.setEpoch(LeaseName(zone), test.epochs[0], "")
					rows := &lossyTable{lost: make(map[int]bool), lateDelay: lateDelay}
					elector := &Elector{
						Host: site.Host{Name: "host", Zone: zone}, Leases: f, LeaseEvents: f.events, Views: f, Owners: f, Table: rows,
						LinkMegabits: 200, Log: zerolog.Nop(),
					}
					done := make(chan error, 1)
					go func() { done <- elector.Run(context.Background()) }()
					time.Sleep(3*checkInterval + checkInterval/2)
					rows.loseNext()
					f.setEpoch(LeaseName(zone), test.epochs[1], "")
					time.Sleep(2 * checkInterval)
					f.setEpoch(LeaseName(zone), test.epochs[2], "")
					time.Sleep(10 * time.Second)
					c.Check(rows.ownedZones(c), quicktest.DeepEquals, test.want)
					const mostCommits = 6
					c.Check(rows.commits <= mostCommits, quicktest.IsTrue, quicktest.Commentf("%d writes", rows.commits))
					c.Assert(elector.Close(), quicktest.IsNil)
					c.Assert(<-done, quicktest.IsNil)
				})
			})
		}
	}
}

// A refusingTable refuses each write and says that the row has the version.
type refusingTable struct {
	version table.Version
	commits int
}

func (r *refusingTable) Era() table.Era { return 0 }

func (r *refusingTable) Commit(_ context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	r.commits++
	time.Sleep(5 * time.Millisecond)
	return []table.WriteResult{{Current: table.Record{Key: transaction.Writes[0].Key, Version: r.version}}}, nil
}

// TestRefusedRegistrationIsNotRepeatedAtOnce guards against writes without a pause to a store that
// refuses them although their condition holds by its own answer, for example by the version of a
// row that was deleted.
func TestRefusedRegistrationIsNotRepeatedAtOnce(t *testing.T) {
	for _, version := range []table.Version{0, 7} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFakePlatform()
			f.events = ring.New[lease.Event](4)
			rows := &refusingTable{version: version}
			elector := &Elector{
				Host: site.Host{Name: "host", Zone: "east"}, Leases: f, LeaseEvents: f.events, Views: f, Owners: f, Table: rows,
				LinkMegabits: 200, Log: zerolog.Nop(),
			}
			done := make(chan error, 1)
			go func() { done <- elector.Run(context.Background()) }()
			const duration = 7 * time.Second
			time.Sleep(duration)
			c.Assert(elector.Close(), quicktest.IsNil)
			c.Assert(<-done, quicktest.IsNil)
			c.Check(rows.commits <= 2+int(duration/registrationRetryDelay), quicktest.IsTrue, quicktest.Commentf("%d writes", rows.commits))
		})
	}
}

// TestRegistrationIsWrittenAgainAfterRestore guards against a zone that has no owner for the other
// hosts, because the store has come back from a copy without the owner's row, or with an older
// one, which may even have the version that the host wrote last.
func TestRegistrationIsWrittenAgainAfterRestore(t *testing.T) {
	for _, test := range []struct {
		name string
		// value is that of the row in the copy, or empty.
		value string
		// hasSameVersion means that the row has the number of the host's last write.
		hasSameVersion bool
	}{
		{"row is missing", "", false},
		{"row is older", `{"name":"host","zone":"east"}`, false},
		{"row is older and has the version of the last write", `{"name":"host","zone":"east"}`, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				f := newFakePlatform()
				f.events = ring.New[lease.Event](4)
				rows := standin.NewTable(1)
				client := &standin.Client{Table: rows}
				defer startOwner(c, f, client)()
				written, err := rows.Read(context.Background(), []table.Key{"hosts/host"})
				c.Assert(err, quicktest.IsNil)
				row := table.Record{Key: "hosts/host", Value: []byte(test.value)}
				if test.value != "" {
					row.Version = written[0].Version
				}
				if test.value != "" && !test.hasSameVersion {
					row.Version--
				}
				rows.RestoreRecords(row.Version.Transaction(), row)
				// The host learns of the new history with its next call, as from the renewal of a lease.
				_, err = client.Read(context.Background(), []table.Key{"lease/east"})
				c.Assert(err, quicktest.IsNil)
				time.Sleep(time.Second)
				records, err := rows.Read(context.Background(), []table.Key{"hosts/host"})
				c.Assert(err, quicktest.IsNil)
				var host site.Host
				c.Assert(json.Unmarshal(records[0].Value, &host), quicktest.IsNil)
				c.Check(host.OwnedZones, quicktest.DeepEquals, map[string]uint64{"east": 2})
			})
		})
	}
}

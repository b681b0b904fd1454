package membership

import (
	"cmp"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// An engineRecord is the newest known summary of an engine.
type engineRecord struct {
	summary fleet.EngineSummary
	// instancesSequence and loadSequence are the sequences of the last change of
	// the instances and of the load.
	instancesSequence, loadSequence uint64
	// loadAdvertisedAt is when the load last got a new sequence, and
	// advertisedLoadVersion is the LoadVersion that was current then.
	loadAdvertisedAt      time.Time
	advertisedLoadVersion uint64
}

// lastSequence returns the sequence of the last change of instances or load.
func (e *engineRecord) lastSequence() uint64 {
	return max(e.instancesSequence, e.loadSequence)
}

// mergeEngine merges a summary into the record of its engine. The summary with
// the higher epoch wins, then the one with the higher version, then the one with
// the higher load version. A summary without instances changes only the load; it
// is ignored when the instances of its version are not known here.
func (r *roster) mergeEngine(summary fleet.EngineSummary, now time.Time) {
	record := r.engines[summary.Engine]
	known := record != nil && record.summary.Epoch == summary.Epoch && record.summary.Version == summary.Version &&
		record.summary.Start == summary.Start
	if summary.InstancesOmitted && !known {
		return
	}
	if record != nil && !isNewer(summary, record.summary) {
		return
	}
	if summary.InstancesOmitted || known {
		summary.Instances = record.summary.Instances
	}
	summary.InstancesOmitted = false
	summary.ReceivedAt = now
	if record == nil {
		record = &engineRecord{}
		r.engines[summary.Engine] = record
	}
	previous := record.summary
	record.summary = summary
	r.enginesDirty = true
	if !known {
		record.instancesSequence = r.nextSequence(changeEntry{engine: summary.Engine})
		r.publishNow = true
	}
	r.advertiseLoad(record, !known, now)
	if previous.Epoch != summary.Epoch || previous.Owner != summary.Owner || previous.Start != summary.Start {
		r.events = append(r.events, Event{Kind: EventEngine, Engine: summary})
	}
}

// advertiseLoad gives a changed load a new sequence, so that peers get it. The
// load of another host's engine gets one only each relayedLoadInterval, unless
// always is set; a change in between is advertised by a later tick.
func (r *roster) advertiseLoad(record *engineRecord, always bool, now time.Time) {
	due := record.summary.Owner == r.self.Name || now.Sub(record.loadAdvertisedAt) >= relayedLoadInterval
	if always || (due && record.advertisedLoadVersion != record.summary.LoadVersion) {
		record.loadSequence, record.loadAdvertisedAt, record.advertisedLoadVersion = r.nextSequence(changeEntry{engine: record.summary.Engine}), now, record.summary.LoadVersion
	}
}

// isNewer reports whether summary a replaces summary b of the same engine.
func isNewer(a, b fleet.EngineSummary) bool {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Version, b.Version), cmp.Compare(a.LoadVersion, b.LoadVersion)) > 0
}

// setOwnEngines merges the summaries of engines that this host owns and assigns
// their load versions.
func (r *roster) setOwnEngines(summaries []fleet.EngineSummary, now time.Time) {
	for _, summary := range summaries {
		summary.Owner, summary.InstancesOmitted = r.self.Name, false
		if record := r.engines[summary.Engine]; record != nil && record.summary.Epoch == summary.Epoch {
			if record.summary.Version == summary.Version && record.summary.Start == summary.Start &&
				record.summary.Running == summary.Running && record.summary.Waiting == summary.Waiting {
				continue
			}
			summary.LoadVersion = record.summary.LoadVersion
		}
		summary.LoadVersion++
		r.mergeEngine(summary, now)
	}
}

package claim

import (
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// setLastRecord stores a record that was read or returned by a write.
func (e *entry) setLastRecord(current record) {
	e.lastRecord, e.lastRecordCurrent = current, true
	e.failingSince = time.Time{}
	// Versions are never reused, so a replacement that expects another version can no
	// longer apply.
	e.lateReplaceVersions = slices.DeleteFunc(e.lateReplaceVersions, func(v table.Version) bool { return v != current.version })
	if current.isReleased() || current.isFinal() {
		// Such a record may be replaced but is not deleted while the request id is
		// accepted, so a late insert fails.
		e.lateInserts = 0
	}
}

// handleWriteResult updates the entry from the result of a write.
func (e *entry) handleWriteResult(o *operation, applied bool, current record, now time.Time) {
	e.setLastRecord(current)
	e.retryBackoff = nil
	e.dueTime = time.Time{}
	if !applied {
		return
	}
	switch {
	case o.kind == operationClaim:
		e.hasReplaced = o.write.Expected != 0
		e.enterHeld(now, true)
	case o.write.Delete && e.phase == phaseIdle:
		// nextCleanup deletes a record only if it is the only late insert.
		e.lateInserts = 0
	}
}

// handleFailure updates the entry after an operation failed and schedules a retry after a
// delay of 5 ms that grows to 1 s. mayHaveEffect is false if the error proves that the
// operation had no effect.
func (e *entry) handleFailure(o *operation, mayHaveEffect bool, cause error, now time.Time) {
	e.lastTableError = cause
	if o.isWrite() && mayHaveEffect {
		e.lastRecordCurrent = false
		if o.kind == operationClaim {
			e.recordUnconfirmed(o.write.Expected)
		}
	}
	if e.failingSince.IsZero() {
		e.failingSince = o.queuedAt
	}
	e.scheduleRetry(now, 5*time.Millisecond, time.Second)
}

// recordUnconfirmed counts a claim write whose reply was lost, and which may take effect
// later.
func (e *entry) recordUnconfirmed(expected table.Version) {
	if expected == 0 {
		e.unconfirmed.inserts++
		e.lateInserts++
		return
	}
	e.unconfirmed.replaces++
	if !slices.Contains(e.lateReplaceVersions, expected) {
		e.lateReplaceVersions = append(e.lateReplaceVersions, expected)
	}
}

// handlePeerStatus stores what the host of another claim answered to a status query.
func (e *entry) handlePeerStatus(token booking.ClaimToken, status booking.ClaimStatus) {
	if status == booking.StatusAbandoned {
		e.replaceableToken = token
	}
}

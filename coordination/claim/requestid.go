package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// grantAgeMargin is by how much the age of an accepted id may exceed MaxRequestIDAge when
// its claim is granted. Otherwise a process that was paused after it accepted the id
// could claim an id whose earlier claim has expired. The margin is less than the 55 min
// by which Lifetime exceeds MaxRequestIDAge plus MaxRequestIDClockSkew.
const grantAgeMargin = 30 * time.Minute

// checkRequestID refuses ids that are not UUIDs of version 7 in lower case, and ids whose
// time lies outside the period in which a claim protects them from a second run.
func checkRequestID(id fleet.RequestID, now time.Time) *verdict.Error {
	createdAt, ok := requestIDTime(id)
	if !ok {
		return verdict.NewNotRun(verdict.CodeRequestID, "request id %q is not a UUID of version 7 in lower case", string(id))
	}
	if createdAt.Sub(now) > MaxRequestIDClockSkew {
		return verdict.NewNotRun(verdict.CodeRequestID, "request id %s is more than %v ahead of the clock", id, MaxRequestIDClockSkew)
	}
	return checkRequestIDAge(id, now, MaxRequestIDAge)
}

// checkRequestIDAge refuses ids that are older than maxAge.
func checkRequestIDAge(id fleet.RequestID, now time.Time, maxAge time.Duration) *verdict.Error {
	createdAt, _ := requestIDTime(id)
	if now.Sub(createdAt) > maxAge {
		return verdict.NewNotRun(verdict.CodeRequestID, "request id %s is older than %v", id, maxAge)
	}
	return nil
}

// requestIDTime returns the time encoded in a UUID of version 7, and false if the id is
// not a UUID of version 7 in lower case.
func requestIDTime(id fleet.RequestID) (time.Time, bool) {
	parsed, err := uuid.Parse(string(id))
	if err != nil || parsed.Version() != 7 || parsed.Variant() != uuid.RFC4122 || parsed.String() != string(id) {
		return time.Time{}, false
	}
	var milliseconds int64
	for _, b := range parsed[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds), true
}

package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// grantMargin is how much older than MaxRequestIDAge an accepted id may become before
// its claim is granted. A process that was paused for longer could otherwise
// claim an id whose earlier claim has expired. It is less than the 55 min by
// which Lifetime exceeds MaxRequestIDAge and MaxRequestIDClockSkew.
const grantMargin = 30 * time.Minute

// checkIdentifier refuses ids that are not UUIDs of version 7 in lower case, or
// that are outside the time in which a claim protects them.
func checkIdentifier(id fleet.RequestID, now time.Time) *verdict.Error {
	made, ok := identifierTime(id)
	if !ok {
		return verdict.NewNotRun(verdict.CodeRequestID, "request id %q is not a UUID of version 7 in lower case", string(id))
	}
	if made.Sub(now) > MaxRequestIDClockSkew {
		return verdict.NewNotRun(verdict.CodeRequestID, "request id %s is more than %v ahead of the clock", id, MaxRequestIDClockSkew)
	}
	return checkAge(id, now, MaxRequestIDAge)
}

// checkAge refuses ids that are older than limit.
func checkAge(id fleet.RequestID, now time.Time, limit time.Duration) *verdict.Error {
	made, _ := identifierTime(id)
	if now.Sub(made) > limit {
		return verdict.NewNotRun(verdict.CodeRequestID, "request id %s is older than %v", id, limit)
	}
	return nil
}

// identifierTime returns the time in a UUID of version 7.
func identifierTime(id fleet.RequestID) (time.Time, bool) {
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

package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// checkIdentifier refuses ids that are not UUIDs of version 7 in lower case, or
// that are outside the time in which a claim protects them.
func checkIdentifier(id fleet.RequestID, now time.Time) *verdict.Error {
	made, ok := identifierTime(id)
	if !ok {
		return verdict.Refuse(verdict.CodeRequestID, "request id %q is not a UUID of version 7 in lower case", string(id))
	}
	if now.Sub(made) > OldestID {
		return verdict.Refuse(verdict.CodeRequestID, "request id %s is older than %v", id, OldestID)
	}
	if made.Sub(now) > NewestID {
		return verdict.Refuse(verdict.CodeRequestID, "request id %s is more than %v ahead of the clock", id, NewestID)
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

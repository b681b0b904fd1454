package claim

import (
	"encoding/json"
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// keyPrefix is the prefix of the table keys of all claims.
const keyPrefix table.Key = "claim/"

func tableKey(key booking.Key) table.Key {
	return keyPrefix + table.Key(key.String())
}

// record is the decoded table record of a claim.
type record struct {
	// version is 0 if the record is absent; claim is then the zero value.
	version table.Version
	claim   booking.Claim
}

func decodeRecord(r table.Record) (record, error) {
	if r.Version == 0 {
		return record{}, nil
	}
	decoded := record{version: r.Version}
	if err := json.Unmarshal(r.Value, &decoded.claim); err != nil {
		return record{}, fmt.Errorf("claim record %s cannot be decoded: %w", r.Key, err)
	}
	return decoded, nil
}

func encodeClaim(claim booking.Claim) ([]byte, error) {
	return json.Marshal(claim)
}

func (r record) isAbsent() bool {
	return r.version == 0
}

// isReleased reports whether the claim was given up without a run. Such a record only
// makes late inserts fail, and a new claim may replace it.
func (r record) isReleased() bool {
	return r.claim.Outcome != nil && r.claim.Outcome.Verdict == verdict.NotRun
}

// isFinal reports whether the request ran or may have run.
func (r record) isFinal() bool {
	return r.claim.Outcome != nil && r.claim.Outcome.Verdict != verdict.NotRun
}

// isUnresolved reports whether the record is a claim whose outcome is not known yet.
func (r record) isUnresolved() bool {
	return r.version != 0 && r.claim.Outcome == nil
}

// storedOutcome returns the outcome as it is written to the table, and the size of its
// response body in bytes. The response is left out if the body exceeds MaxResponseBytes
// or availableBytes, or if the response was streamed and its body is empty.
func storedOutcome(outcome booking.Outcome, availableBytes int) (booking.Outcome, int) {
	if outcome.Verdict != verdict.Ran {
		outcome.Response = nil
		return outcome, 0
	}
	keepResponse := outcome.Response != nil && len(outcome.Response.Body) <= min(MaxResponseBytes, availableBytes) &&
		(len(outcome.Response.Body) > 0 || outcome.Response.Chunks == 0)
	if !keepResponse {
		return booking.Outcome{Verdict: verdict.Ran, Code: verdict.CodeAnswerNotKept}, 0
	}
	response := *outcome.Response
	outcome.Response = &response
	return outcome, len(response.Body)
}

// replayResult returns the result for another attempt of a request that already has a
// final outcome.
func replayResult(key booking.Key, outcome *booking.Outcome) attemptResult {
	if outcome.Verdict == verdict.Ran && outcome.Response == nil {
		return attemptResult{failure: verdict.NewMayHaveRun(verdict.CodeAnswerNotKept, nil,
			"request %s ran at an earlier attempt, and its response was not kept", key.Request)}
	}
	copied := *outcome
	return attemptResult{outcome: &copied}
}

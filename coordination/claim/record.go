package claim

import (
	"encoding/json"
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// keyPrefix starts the table keys of all claims.
const keyPrefix table.Key = "claim/"

func tableKey(key booking.Key) table.Key {
	return keyPrefix + table.Key(key.String())
}

// A record is a claim as last seen in the table.
type record struct {
	// version is 0 when the record is absent; claim is then zero.
	version table.Version
	claim   booking.Claim
}

func decodeRecord(r table.Record) (record, error) {
	if r.Version == 0 {
		return record{}, nil
	}
	decoded := record{version: r.Version}
	if err := json.Unmarshal(r.Value, &decoded.claim); err != nil {
		return record{}, fmt.Errorf("record %s: %w", r.Key, err)
	}
	return decoded, nil
}

func encodeClaim(claim booking.Claim) ([]byte, error) {
	return json.Marshal(claim)
}

func (r record) absent() bool {
	return r.version == 0
}

// released says that the record only keeps late inserts out.
func (r record) released() bool {
	return r.claim.Outcome != nil && r.claim.Outcome.Verdict == verdict.NotRun
}

// final says that the request ran or may have run.
func (r record) final() bool {
	return r.claim.Outcome != nil && r.claim.Outcome.Verdict != verdict.NotRun
}

func (r record) unresolved() bool {
	return r.version != 0 && r.claim.Outcome == nil
}

// recordable returns the outcome as it is stored, and the size of its body.
func recordable(outcome booking.Outcome, room int) (booking.Outcome, int) {
	if outcome.Verdict != verdict.Ran {
		outcome.Response = nil
		return outcome, 0
	}
	kept := outcome.Response != nil && len(outcome.Response.Body) <= min(MaxResponseBytes, room) &&
		(len(outcome.Response.Body) > 0 || outcome.Response.Chunks == 0)
	if !kept {
		return booking.Outcome{Verdict: verdict.Ran, Code: verdict.CodeAnswerNotKept}, 0
	}
	answer := *outcome.Response
	outcome.Response = &answer
	return outcome, len(answer.Body)
}

// replay returns the answer to a second try of a request with a final outcome.
func replay(key booking.Key, outcome *booking.Outcome) attemptAnswer {
	if outcome.Verdict == verdict.Ran && outcome.Response == nil {
		return attemptAnswer{failure: verdict.NewMayHaveRun(verdict.CodeAnswerNotKept, nil,
			"request %s ran at an earlier try, and its answer was not kept", key.Request)}
	}
	copied := *outcome
	return attemptAnswer{outcome: &copied}
}

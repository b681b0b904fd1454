// Package booking has the plain structs of requests that may not be repeated, called
// bookings: their claims and recorded outcomes in the platform's table.
package booking

import (
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A Key identifies a request that may not be repeated.
type Key struct {
	// Application is the application that called.
	Application configuration.ApplicationName `json:"application"`
	// Caller is the caller on whose behalf the application called.
	Caller string `json:"caller"`
	// Request is the ID that the caller chose, a UUID version 7 in lower case.
	Request fleet.RequestID `json:"request"`
}

// String returns the form "application/caller/request". Slashes and percent
// signs within a part are escaped, so that different keys have different forms.
func (k Key) String() string {
	escape := strings.NewReplacer("%", "%25", "/", "%2f")
	return escape.Replace(string(k.Application)) + "/" + escape.Replace(k.Caller) + "/" + escape.Replace(string(k.Request))
}

// RunID returns the id by which engines know the run of the request. It is the same
// for every attempt, so that a second run shows in an engine's records.
func (k Key) RunID() fleet.RequestID {
	return fleet.RequestID(uuid.NewSHA1(uuid.NameSpaceURL, []byte(k.String())).String())
}

// A ClaimToken identifies one claim. The host that makes the claim generates a new
// one, so that it can distinguish its own claim from the claim of another host.
type ClaimToken string

// A ClaimHandle shows that this host has claimed a request and may run it once. It
// is needed to record the outcome.
type ClaimHandle struct {
	// Key is the request that was claimed.
	Key Key
	// Token is the token of the claim.
	Token ClaimToken
}

// An Outcome is the recorded end of a claimed request.
type Outcome struct {
	// Verdict is final if it is Ran or MayHaveRun. A claim with verdict NotRun is
	// removed from the table. It stays there with this verdict if an insert of
	// the claim may still arrive late, so that the insert finds the key taken; a
	// new claim may replace such a record.
	Verdict verdict.Verdict `json:"verdict"`
	// Code is the cause if the verdict is MayHaveRun. If the verdict is Ran, it is
	// empty, or CodeAnswerNotKept if the answer was not stored.
	Code verdict.Code `json:"code,omitempty"`
	// Response is the whole answer if the verdict is Ran and the answer was
	// stored; otherwise nil.
	Response *request.Response `json:"answer,omitempty"`
}

// A Claim is the record of a claimed request in the platform's table.
type Claim struct {
	// Token is never empty.
	Token ClaimToken `json:"token"`
	// Host and Start identify the process that made the claim.
	Host  fleet.HostName    `json:"host"`
	Start fleet.StartNumber `json:"start"`
	// ClaimedAt is the wall-clock time of the claim at the host. It is used only
	// to remove old claims.
	ClaimedAt time.Time `json:"claimed"`
	// Outcome is nil while the request is unresolved. A final outcome never changes.
	Outcome *Outcome `json:"outcome,omitempty"`
}

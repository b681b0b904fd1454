// Package booking has the plain structs of requests that may not be repeated:
// their claims and recorded outcomes.
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
	// Request is a UUID version 7 in lower case.
	Request fleet.RequestID `json:"request"`
}

// String returns the form "application/caller/request". Slashes and percent
// signs within a part are escaped, so that different keys have different forms.
func (k Key) String() string {
	escape := strings.NewReplacer("%", "%25", "/", "%2f")
	return escape.Replace(string(k.Application)) + "/" + escape.Replace(k.Caller) + "/" + escape.Replace(string(k.Request))
}

// RunID returns the id of the request's run towards engines. It is the same
// for every try, so that an engine's records show a second run.
func (k Key) RunID() fleet.RequestID {
	return fleet.RequestID(uuid.NewSHA1(uuid.NameSpaceURL, []byte(k.String())).String())
}

// A ClaimToken is fresh for each claim, so that a host can tell its own claim from
// another's.
type ClaimToken string

// A ClaimHandle is the right to run a request once.
type ClaimHandle struct {
	// Key is the request that was claimed.
	Key Key
	// Token is the token of the claim.
	Token ClaimToken
}

// An Outcome is how a claimed request ended.
type Outcome struct {
	// Verdict is final when it is Ran or MayHaveRun. A claim with verdict NotRun
	// is removed, or stays with this verdict where a late insert must find the
	// key taken; such a record may be replaced by a new claim.
	Verdict verdict.Verdict `json:"verdict"`
	// Code is the cause when the verdict is MayHaveRun, or says that the answer
	// was not kept when the verdict is Ran.
	Code verdict.Code `json:"code,omitempty"`
	// Response is the whole answer when the verdict is Ran and the answer was kept.
	Response *request.Response `json:"answer,omitempty"`
}

// A Claim is the record of a claimed request in the platform's table.
type Claim struct {
	// Token is never empty.
	Token ClaimToken `json:"token"`
	// Host and Start identify the process that claimed.
	Host  fleet.HostName    `json:"host"`
	Start fleet.StartNumber `json:"start"`
	// ClaimedAt is the wall-clock time of the claim; it serves clean-up only.
	ClaimedAt time.Time `json:"claimed"`
	// Outcome is nil while the request is unresolved. A final outcome never changes.
	Outcome *Outcome `json:"outcome,omitempty"`
}

package ownership

import (
	"errors"
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A NotOwnerError says that this host does not own the engine. It is the Cause
// of a *verdict.Error with code CodeNotOwner.
type NotOwnerError struct {
	Engine fleet.EngineName
	// Owner is the host that owns the engine; empty when it is not known.
	Owner fleet.HostName
}

// Error names the engine, and its owner if the owner is known.
func (e *NotOwnerError) Error() string {
	if e.Owner == "" {
		return fmt.Sprintf("engine %s is not owned by this host", e.Engine)
	}
	return fmt.Sprintf("engine %s is owned by %s", e.Engine, e.Owner)
}

func newNotOwnerRefusal(engine fleet.EngineName, owner fleet.HostName) *verdict.Error {
	refusal := verdict.NewNotRun(verdict.CodeNotOwner, "no grant on engine %s", engine)
	refusal.Cause = &NotOwnerError{Engine: engine, Owner: owner}
	return refusal
}

// NotOwnerRefusal reports whether err is a refusal with code CodeNotOwner, and
// returns the owner of the engine if the refusal names it.
func NotOwnerRefusal(err error) (fleet.HostName, bool) {
	var verdictErr *verdict.Error
	var cause *NotOwnerError
	if !errors.As(err, &verdictErr) || verdictErr.Code != verdict.CodeNotOwner {
		return "", false
	}
	if errors.As(err, &cause) {
		return cause.Owner, true
	}
	return "", true
}

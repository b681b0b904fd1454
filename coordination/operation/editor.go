// Package operation implements the operator commands: edits of the
// configuration, and reports on hosts, engines, backend servers and revisions.
package operation

import (
	"context"

	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// RevisionStore accepts changes of the configuration and holds the configuration
// applied at this host. A revision.Distributor implements it.
type RevisionStore interface {
	// LookupOperation returns the head and the change that the operation made,
	// if any. It reads the current records, never stale ones.
	LookupOperation(ctx context.Context, operation configuration.OperationID) (revision.OperationStatus, error)
	// CatchUp fetches changes until this host has applied the given accepted
	// revision or a later one.
	CatchUp(ctx context.Context, revision configuration.Revision) error
	// Current returns the applied configuration, or nil if there is none yet.
	Current() *configuration.Configuration
	// Accept applies a change if the expected revision is still the head, and
	// returns the revision that results.
	Accept(ctx context.Context, expected configuration.Revision, change configuration.Change) (configuration.Revision, error)
}

// An EditRequest is a request for one edit.
type EditRequest struct {
	// ExpectedRevision is the revision that the edit changes. The edit is refused
	// with a conflict unless this revision is the head.
	ExpectedRevision configuration.Revision
	// OperationID identifies the operation and must not be empty. A repeated
	// request carries the ID of the first one.
	OperationID configuration.OperationID
	// Edit is the edit to make.
	Edit Edit
}

// An EditResult is the outcome of an accepted edit.
type EditResult struct {
	// Revision is the revision that the edit produced.
	Revision configuration.Revision `json:"revision"`
	// Repeated reports whether an earlier request with the same operation ID
	// produced the revision, so that this request changed nothing.
	Repeated bool `json:"repeated"`
}

// An Editor applies the edits of operators to the configuration. Its fields are
// set before use and not changed afterwards.
type Editor struct {
	// Revisions looks up earlier operations and accepts the changes.
	Revisions RevisionStore
}

// Apply makes an edit to the expected revision. A repeated request with the
// same operation ID and edit returns the revision of the first request, even if
// other changes were accepted in the meantime. The error is a *verdict.Error
// with the codes and causes that revision.Distributor.Accept documents.
func (e *Editor) Apply(ctx context.Context, request EditRequest) (EditResult, error) {
	if request.OperationID == "" {
		return EditResult{}, invalidFieldError("operation", "is missing")
	}
	description := request.Edit.Describe()
	base, earlier, err := e.resolveBase(ctx, request, description)
	if err != nil || earlier != 0 {
		return EditResult{Revision: earlier, Repeated: earlier != 0}, err
	}
	change, err := request.Edit.Change(base)
	if err != nil {
		return EditResult{}, err
	}
	change.Operation, change.Description = request.OperationID, description
	accepted, err := e.Revisions.Accept(ctx, request.ExpectedRevision, change)
	return EditResult{Revision: accepted}, err
}

// resolveBase returns the configuration at the expected revision or, if an
// earlier request with the same operation ID was accepted, the revision that it
// produced. The description distinguishes a repeated request from another edit
// that reuses the operation ID.
func (e *Editor) resolveBase(ctx context.Context, request EditRequest, description string) (*configuration.Configuration, configuration.Revision, error) {
	for {
		found, err := e.Revisions.LookupOperation(ctx, request.OperationID)
		if err != nil {
			return nil, 0, err
		}
		if found.AcceptedChange != nil {
			if found.AcceptedChange.Description != description {
				return nil, 0, invalidFieldError("operation", "was used for the different change to revision %d", found.AcceptedChange.Revision)
			}
			return nil, found.AcceptedChange.Revision, nil
		}
		if found.Head != request.ExpectedRevision {
			return nil, 0, conflictError(request.ExpectedRevision, found.Head)
		}
		if err := e.Revisions.CatchUp(ctx, request.ExpectedRevision); err != nil {
			return nil, 0, err
		}
		base := e.Revisions.Current()
		if base == nil {
			base = &configuration.Configuration{}
		}
		if base.Revision == request.ExpectedRevision {
			return base, 0, nil
		}
		// The head has moved on since the lookup. An earlier request of this
		// operation at another host may have moved it, so look up again.
	}
}

// conflictError returns the error of an edit whose expected revision is not the
// head.
func conflictError(expected, actual configuration.Revision) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeConflict, Message: "change was not accepted",
		Cause: &revision.ConflictError{Expected: expected, Actual: actual},
	}
}

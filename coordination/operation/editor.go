// Package operation has what operators do: edits of the configuration, and
// reports of hosts, engines and revisions.
package operation

import (
	"context"

	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// RevisionStore accepts changes of the configuration.
type RevisionStore interface {
	// LookupOperation finds out without lag what became of an operation.
	LookupOperation(ctx context.Context, operation configuration.OperationID) (revision.OperationStatus, error)
	// CatchUp brings this host up to a revision.
	CatchUp(ctx context.Context, revision configuration.Revision) error
	// Current returns the configuration in force, or nil.
	Current() *configuration.Configuration
	// Accept makes a change to the expected revision.
	Accept(ctx context.Context, expected configuration.Revision, change configuration.Change) (configuration.Revision, error)
}

// An EditRequest asks for one edit.
type EditRequest struct {
	// ExpectedRevision is the revision that the edit is made to.
	ExpectedRevision configuration.Revision
	// OperationID is never empty; a repeated request has the same one.
	OperationID configuration.OperationID
	// Edit is what is asked for.
	Edit Edit
}

// An EditResult is the outcome of an accepted edit.
type EditResult struct {
	// Revision is the revision that the edit led to.
	Revision configuration.Revision `json:"revision"`
	// Repeated says that an earlier request with the same operation made it.
	Repeated bool `json:"repeated"`
}

// An Editor makes edits. Its fields are set before use.
type Editor struct {
	Revisions RevisionStore
}

// Apply makes an edit to the expected revision. A repeated request with the
// same operation and edit returns the revision of the first one, also when
// other changes came between. The error is a *verdict.Error as that of
// revision.Distributor.Accept.
func (e *Editor) Apply(ctx context.Context, request EditRequest) (EditResult, error) {
	if request.OperationID == "" {
		return EditResult{}, wrong("operation", "is missing")
	}
	description := request.Edit.Describe()
	base, earlier, err := e.base(ctx, request, description)
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

// base returns the configuration at the expected revision, or the revision that
// an earlier request with the same operation led to.
func (e *Editor) base(ctx context.Context, request EditRequest, description string) (*configuration.Configuration, configuration.Revision, error) {
	for {
		found, err := e.Revisions.LookupOperation(ctx, request.OperationID)
		if err != nil {
			return nil, 0, err
		}
		if found.AcceptedChange != nil {
			if found.AcceptedChange.Description != description {
				return nil, 0, wrong("operation", "was used for the different change to revision %d", found.AcceptedChange.Revision)
			}
			return nil, found.AcceptedChange.Revision, nil
		}
		if found.Head != request.ExpectedRevision {
			return nil, 0, conflict(request.ExpectedRevision, found.Head)
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
		// The head has moved on since the lookup, perhaps by this operation at
		// another host. The next lookup tells.
	}
}

func conflict(expected, actual configuration.Revision) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeConflict, Message: "change was not accepted",
		Cause: &revision.ConflictError{Expected: expected, Actual: actual},
	}
}

package operation

import (
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// An Edit is one change that an operator requests.
type Edit interface {
	// Describe returns a text that contains every field of the edit, so that two
	// edits are equal exactly if their descriptions are. The description is
	// stored with the change and shows whether a repeated operation ID belongs
	// to the same edit.
	Describe() string
	// Change returns the change that applies the edit to the configuration base,
	// which it does not modify. The error is a *verdict.Error with verdict NotRun.
	Change(base *configuration.Configuration) (configuration.Change, error)
}

// notFoundError returns the error of an edit that names an object which does not
// exist. path is the field of the configuration, and format with args names the
// object.
func notFoundError(code verdict.Code, path, format string, args ...any) error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: code, Message: fmt.Sprintf(format, args...),
		Cause: &configuration.FieldError{Path: path, Problem: "does not exist"},
	}
}

// invalidFieldError returns the error of an edit with an invalid value in the
// field at path. format with args states the problem.
func invalidFieldError(path, format string, args ...any) error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeMalformed, Message: "change is not valid",
		Cause: &configuration.FieldError{Path: path, Problem: fmt.Sprintf(format, args...)},
	}
}

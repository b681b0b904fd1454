package operation

import (
	"fmt"
	"strings"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A SetApplication creates an application or changes an existing one. Fields that
// are empty or nil leave the value of the application as it is.
type SetApplication struct {
	Name      configuration.ApplicationName
	TokenHash string
	Kinds     []configuration.KindName
	// Concurrency is the most requests of the application in flight at one entry
	// host, 0 for no limit; nil leaves the limit as it is.
	Concurrency *int
}

// Describe implements Edit.
func (e SetApplication) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "set application %q", e.Name)
	if e.TokenHash != "" {
		fmt.Fprintf(&b, ", token hash %s", e.TokenHash)
	}
	if len(e.Kinds) > 0 {
		fmt.Fprintf(&b, ", kinds %q", e.Kinds)
	}
	if e.Concurrency != nil {
		fmt.Fprintf(&b, ", concurrency %d", *e.Concurrency)
	}
	return b.String()
}

// Change implements Edit.
func (e SetApplication) Change(base *configuration.Configuration) (configuration.Change, error) {
	a := base.Applications[e.Name]
	a.Name = e.Name
	if e.TokenHash != "" {
		a.TokenHash = e.TokenHash
	}
	if len(e.Kinds) > 0 {
		a.Kinds = e.Kinds
	}
	if e.Concurrency != nil {
		a.MaxConcurrency = *e.Concurrency
	}
	return configuration.Change{Applications: map[configuration.ApplicationName]configuration.Application{e.Name: a}}, nil
}

// A RetireApplication removes an application. It is refused if the application
// does not exist.
type RetireApplication struct {
	Name configuration.ApplicationName
}

// Describe implements Edit.
func (e RetireApplication) Describe() string { return fmt.Sprintf("retire application %q", e.Name) }

// Change implements Edit.
func (e RetireApplication) Change(base *configuration.Configuration) (configuration.Change, error) {
	if _, exists := base.Applications[e.Name]; !exists {
		return configuration.Change{}, notFoundError(verdict.CodeUnknownName, "applications."+string(e.Name), "application %q", e.Name)
	}
	return configuration.Change{RetireApplications: []configuration.ApplicationName{e.Name}}, nil
}

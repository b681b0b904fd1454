package operation

import (
	"fmt"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A SetKind creates a kind or changes an existing one. Fields that are empty, zero
// or nil leave the value of the kind as it is.
type SetKind struct {
	Name     configuration.KindName
	Urgency  configuration.Urgency
	Repeat   configuration.RepeatRule
	Deadline time.Duration
	// Objective is the share of requests to be answered in time; nil leaves it as
	// it is.
	Objective *float64
}

// Describe implements Edit.
func (e SetKind) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "set kind %q", e.Name)
	if e.Urgency != "" {
		fmt.Fprintf(&b, ", urgency %q", e.Urgency)
	}
	if e.Repeat != "" {
		fmt.Fprintf(&b, ", repeat %q", e.Repeat)
	}
	if e.Deadline != 0 {
		fmt.Fprintf(&b, ", deadline %s", e.Deadline)
	}
	if e.Objective != nil {
		fmt.Fprintf(&b, ", objective %v", *e.Objective)
	}
	return b.String()
}

// Change implements Edit.
func (e SetKind) Change(base *configuration.Configuration) (configuration.Change, error) {
	k := base.Kinds[e.Name]
	k.Name = e.Name
	if e.Urgency != "" {
		k.Urgency = e.Urgency
	}
	if e.Repeat != "" {
		k.Repeat = e.Repeat
	}
	if e.Deadline != 0 {
		k.Timeout = e.Deadline
	}
	if e.Objective != nil {
		k.Objective = *e.Objective
	}
	return configuration.Change{Kinds: map[configuration.KindName]configuration.Kind{e.Name: k}}, nil
}

// A RetireKind removes a kind. It is refused if the kind does not exist, and when
// the change is accepted if an application still uses the kind.
type RetireKind struct {
	Name configuration.KindName
}

// Describe implements Edit.
func (e RetireKind) Describe() string { return fmt.Sprintf("retire kind %q", e.Name) }

// Change implements Edit.
func (e RetireKind) Change(base *configuration.Configuration) (configuration.Change, error) {
	if _, exists := base.Kinds[e.Name]; !exists {
		return configuration.Change{}, notFoundError(verdict.CodeUnknownKind, "kinds."+string(e.Name), "kind %q", e.Name)
	}
	return configuration.Change{RetireKinds: []configuration.KindName{e.Name}}, nil
}

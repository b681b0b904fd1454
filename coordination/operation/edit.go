package operation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// An Edit is one thing that an operator asks for.
type Edit interface {
	// Describe returns the edit in full, so that two edits are equal exactly if
	// their descriptions are.
	Describe() string
	// Change returns the change that makes the edit to a configuration. Its
	// error is a *verdict.Error with verdict NotRun.
	Change(base *configuration.Configuration) (configuration.Change, error)
}

// unknown returns the error of an edit whose subject does not exist.
func unknown(code verdict.Code, path, format string, args ...any) error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: code, Message: fmt.Sprintf(format, args...),
		Cause: &configuration.FieldError{Path: path, Problem: "does not exist"},
	}
}

// wrong returns the error of an edit with a wrong field.
func wrong(path, format string, args ...any) error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeMalformed, Message: "change is not valid",
		Cause: &configuration.FieldError{Path: path, Problem: fmt.Sprintf(format, args...)},
	}
}

// A CreateAdapter creates an adapter that does not exist yet.
type CreateAdapter struct {
	Adapter configuration.Adapter
}

// Describe implements Edit.
func (e CreateAdapter) Describe() string {
	return fmt.Sprintf("create adapter %q with versions %d, current %d", e.Adapter.Name, e.Adapter.Versions, e.Adapter.Current)
}

// Change implements Edit.
func (e CreateAdapter) Change(base *configuration.Configuration) (configuration.Change, error) {
	if _, exists := base.Adapters[e.Adapter.Name]; exists {
		return configuration.Change{}, wrong("adapters."+string(e.Adapter.Name), "exists already")
	}
	return setAdapter(e.Adapter), nil
}

func setAdapter(a configuration.Adapter) configuration.Change {
	return configuration.Change{Adapters: map[fleet.AdapterName]configuration.Adapter{a.Name: a}}
}

func findAdapter(base *configuration.Configuration, name fleet.AdapterName) (configuration.Adapter, error) {
	found, exists := base.Adapters[name]
	if !exists {
		return found, unknown(verdict.CodeUnknownAdapter, "adapters."+string(name), "adapter %q", name)
	}
	found.Versions = slices.Clone(found.Versions)
	return found, nil
}

// A RetireAdapter removes an adapter with all versions.
type RetireAdapter struct {
	Name fleet.AdapterName
}

// Describe implements Edit.
func (e RetireAdapter) Describe() string { return fmt.Sprintf("retire adapter %q", e.Name) }

// Change implements Edit.
func (e RetireAdapter) Change(base *configuration.Configuration) (configuration.Change, error) {
	if _, err := findAdapter(base, e.Name); err != nil {
		return configuration.Change{}, err
	}
	return configuration.Change{RetireAdapters: []fleet.AdapterName{e.Name}}, nil
}

// An AddVersion adds a version to an adapter.
type AddVersion struct {
	Adapter fleet.AdapterName
	Version fleet.AdapterVersion
	// Current also makes the version the current one.
	Current bool
}

// Describe implements Edit.
func (e AddVersion) Describe() string {
	if e.Current {
		return fmt.Sprintf("add version %d to adapter %q as the current one", e.Version, e.Adapter)
	}
	return fmt.Sprintf("add version %d to adapter %q", e.Version, e.Adapter)
}

// Change implements Edit.
func (e AddVersion) Change(base *configuration.Configuration) (configuration.Change, error) {
	a, err := findAdapter(base, e.Adapter)
	if err != nil {
		return configuration.Change{}, err
	}
	at, exists := slices.BinarySearch(a.Versions, e.Version)
	if exists {
		return configuration.Change{}, wrong("adapters."+string(e.Adapter)+".versions", "version %d exists already", e.Version)
	}
	a.Versions = slices.Insert(a.Versions, at, e.Version)
	if e.Current {
		a.Current = e.Version
	}
	return setAdapter(a), nil
}

// findVersion returns the adapter and the position of a version that exists.
func findVersion(base *configuration.Configuration, name fleet.AdapterName, version fleet.AdapterVersion) (configuration.Adapter, int, error) {
	a, err := findAdapter(base, name)
	if err != nil {
		return a, 0, err
	}
	at, exists := slices.BinarySearch(a.Versions, version)
	if !exists {
		return a, 0, unknown(verdict.CodeUnknownAdapter, "adapters."+string(name)+".versions", "version %d of adapter %q", version, name)
	}
	return a, at, nil
}

// A RetireVersion removes a version that is not the current one.
type RetireVersion struct {
	Adapter fleet.AdapterName
	Version fleet.AdapterVersion
}

// Describe implements Edit.
func (e RetireVersion) Describe() string {
	return fmt.Sprintf("retire version %d of adapter %q", e.Version, e.Adapter)
}

// Change implements Edit.
func (e RetireVersion) Change(base *configuration.Configuration) (configuration.Change, error) {
	a, at, err := findVersion(base, e.Adapter, e.Version)
	if err != nil {
		return configuration.Change{}, err
	}
	if a.Current == e.Version {
		return configuration.Change{}, wrong("adapters."+string(e.Adapter)+".current", "is version %d, which is to be retired", e.Version)
	}
	a.Versions = slices.Delete(a.Versions, at, at+1)
	return setAdapter(a), nil
}

// A SetCurrent chooses the version for requests that name none.
type SetCurrent struct {
	Adapter fleet.AdapterName
	Version fleet.AdapterVersion
}

// Describe implements Edit.
func (e SetCurrent) Describe() string {
	return fmt.Sprintf("make version %d of adapter %q the current one", e.Version, e.Adapter)
}

// Change implements Edit.
func (e SetCurrent) Change(base *configuration.Configuration) (configuration.Change, error) {
	a, _, err := findVersion(base, e.Adapter, e.Version)
	if err != nil {
		return configuration.Change{}, err
	}
	a.Current = e.Version
	return setAdapter(a), nil
}

// A SetApplication creates or changes an application. Empty fields stay.
type SetApplication struct {
	Name      configuration.ApplicationName
	TokenHash string
	Kinds     []configuration.KindName
	// Concurrency is nil where it stays.
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

// A RetireApplication removes an application.
type RetireApplication struct {
	Name configuration.ApplicationName
}

// Describe implements Edit.
func (e RetireApplication) Describe() string { return fmt.Sprintf("retire application %q", e.Name) }

// Change implements Edit.
func (e RetireApplication) Change(base *configuration.Configuration) (configuration.Change, error) {
	if _, exists := base.Applications[e.Name]; !exists {
		return configuration.Change{}, unknown(verdict.CodeUnknownName, "applications."+string(e.Name), "application %q", e.Name)
	}
	return configuration.Change{RetireApplications: []configuration.ApplicationName{e.Name}}, nil
}

// A SetKind creates or changes a kind. Empty fields stay.
type SetKind struct {
	Name     configuration.KindName
	Urgency  configuration.Urgency
	Repeat   configuration.RepeatRule
	Deadline time.Duration
	// Objective is nil where it stays.
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

// A RetireKind removes a kind that no application uses.
type RetireKind struct {
	Name configuration.KindName
}

// Describe implements Edit.
func (e RetireKind) Describe() string { return fmt.Sprintf("retire kind %q", e.Name) }

// Change implements Edit.
func (e RetireKind) Change(base *configuration.Configuration) (configuration.Change, error) {
	if _, exists := base.Kinds[e.Name]; !exists {
		return configuration.Change{}, unknown(verdict.CodeUnknownKind, "kinds."+string(e.Name), "kind %q", e.Name)
	}
	return configuration.Change{RetireKinds: []configuration.KindName{e.Name}}, nil
}

// A SetDraining drains a backend server or ends its draining.
type SetDraining struct {
	Server   string
	Draining bool
}

// Describe implements Edit.
func (e SetDraining) Describe() string {
	if e.Draining {
		return fmt.Sprintf("drain backend server %q", e.Server)
	}
	return fmt.Sprintf("undrain backend server %q", e.Server)
}

// Change implements Edit.
func (e SetDraining) Change(base *configuration.Configuration) (configuration.Change, error) {
	if !hasServer(base, e.Server) {
		return configuration.Change{}, unknown(verdict.CodeUnknownName, "draining."+e.Server, "backend server %q", e.Server)
	}
	return configuration.Change{Draining: map[string]bool{e.Server: e.Draining}}, nil
}

func hasServer(base *configuration.Configuration, name string) bool {
	if _, exists := base.Engines[fleet.EngineName(name)]; exists {
		return true
	}
	for _, service := range base.Services {
		if slices.ContainsFunc(service.Servers, func(s configuration.Server) bool { return s.Name == name }) {
			return true
		}
	}
	return false
}

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

// A CreateAdapter creates an adapter. It is refused if the adapter exists.
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
		return configuration.Change{}, invalidFieldError("adapters."+string(e.Adapter.Name), "exists already")
	}
	return setAdapter(e.Adapter), nil
}

// setAdapter returns the change that adds or replaces an adapter.
func setAdapter(a configuration.Adapter) configuration.Change {
	return configuration.Change{Adapters: map[fleet.AdapterName]configuration.Adapter{a.Name: a}}
}

// findAdapter returns an adapter, with a copy of its versions that the caller may
// modify.
func findAdapter(base *configuration.Configuration, name fleet.AdapterName) (configuration.Adapter, error) {
	found, exists := base.Adapters[name]
	if !exists {
		return found, notFoundError(verdict.CodeUnknownAdapter, "adapters."+string(name), "adapter %q", name)
	}
	found.Versions = slices.Clone(found.Versions)
	return found, nil
}

// A RetireAdapter removes an adapter with all its versions.
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
	// Current reports whether the version also becomes the current one.
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
		return configuration.Change{}, invalidFieldError("adapters."+string(e.Adapter)+".versions", "version %d exists already", e.Version)
	}
	a.Versions = slices.Insert(a.Versions, at, e.Version)
	if e.Current {
		a.Current = e.Version
	}
	return setAdapter(a), nil
}

// findVersion returns an adapter and the index of a version in its Versions. A
// missing adapter or version is an error.
func findVersion(base *configuration.Configuration, name fleet.AdapterName, version fleet.AdapterVersion) (configuration.Adapter, int, error) {
	a, err := findAdapter(base, name)
	if err != nil {
		return a, 0, err
	}
	at, exists := slices.BinarySearch(a.Versions, version)
	if !exists {
		return a, 0, notFoundError(verdict.CodeUnknownAdapter, "adapters."+string(name)+".versions", "version %d of adapter %q", version, name)
	}
	return a, at, nil
}

// A RetireVersion removes a version from an adapter. It is refused for the current
// version, because requests that name no version use it.
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
		return configuration.Change{}, invalidFieldError("adapters."+string(e.Adapter)+".current", "is version %d, which is to be retired", e.Version)
	}
	a.Versions = slices.Delete(a.Versions, at, at+1)
	return setAdapter(a), nil
}

// A SetCurrent chooses the version of an adapter that serves requests which name
// no version.
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

// A SetDraining starts or ends the draining of a backend server, which receives no
// new work while it drains.
type SetDraining struct {
	// Server is the name of an engine or of a server of a plain service.
	Server string
	// Draining is true to start draining and false to end it.
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
		return configuration.Change{}, notFoundError(verdict.CodeUnknownName, "draining."+e.Server, "backend server %q", e.Server)
	}
	return configuration.Change{Draining: map[string]bool{e.Server: e.Draining}}, nil
}

// hasServer reports whether the configuration has an engine or a server of a plain
// service with the name.
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

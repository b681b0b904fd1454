package operation

import (
	"fmt"
	"slices"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

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

package operation

import (
	"fmt"
	"slices"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

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

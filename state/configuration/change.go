package configuration

import (
	"maps"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Change is the difference between a configuration and the next one. It is stored
// and is not modified afterwards.
type Change struct {
	// Revision is the revision of the configuration after the change, which is
	// one more than the revision before it.
	Revision Revision `json:"revision"`
	// Operation is the operation that made the change; it is never empty.
	Operation OperationID `json:"operation"`
	// Description is the full text of what the operator requested. It shows that
	// a call is a repetition of an earlier one, even if other changes were made
	// between them. It may be empty.
	Description string `json:"description,omitempty"`

	// Adapters and the other maps have the entries that the change adds or
	// replaces. Draining has true for a server that begins to drain, and false
	// for one that receives work again.
	Adapters     map[fleet.AdapterName]Adapter     `json:"adapters,omitempty"`
	Applications map[ApplicationName]Application   `json:"applications,omitempty"`
	Kinds        map[KindName]Kind                 `json:"kinds,omitempty"`
	Engines      map[fleet.EngineName]fleet.Engine `json:"engines,omitempty"`
	Services     map[ServiceName]Service           `json:"services,omitempty"`
	Draining     map[string]bool                   `json:"draining,omitempty"`

	// RetireAdapters and the other lists name the entries that the change removes.
	// No entry is both set and removed.
	RetireAdapters     []fleet.AdapterName `json:"retire-adapters,omitempty"`
	RetireApplications []ApplicationName   `json:"retire-applications,omitempty"`
	RetireKinds        []KindName          `json:"retire-kinds,omitempty"`
	RetireEngines      []fleet.EngineName  `json:"retire-engines,omitempty"`
	RetireServices     []ServiceName       `json:"retire-services,omitempty"`
}

// InitialChange returns the change that leads from the empty configuration to c, with
// revision 1. Hosts that start with the same initial configuration return the same
// change with the same operation, so that it is one operation for all of them.
func (c *Configuration) InitialChange() *Change {
	return &Change{
		Revision:     1,
		Operation:    "initial-configuration",
		Adapters:     c.Adapters,
		Applications: c.Applications,
		Kinds:        c.Kinds,
		Engines:      c.Engines,
		Services:     c.Services,
		Draining:     c.Draining,
	}
}

// Apply returns the configuration after the change. The receiver is not modified,
// and the result shares the maps that the change does not touch. The calling code
// checks that c.Revision+1 equals change.Revision.
func (c *Configuration) Apply(change *Change) *Configuration {
	return &Configuration{
		Revision:     change.Revision,
		Adapters:     merge(c.Adapters, change.Adapters, change.RetireAdapters),
		Applications: merge(c.Applications, change.Applications, change.RetireApplications),
		Kinds:        merge(c.Kinds, change.Kinds, change.RetireKinds),
		Engines:      merge(c.Engines, change.Engines, change.RetireEngines),
		Services:     merge(c.Services, change.Services, change.RetireServices),
		Draining:     merge(c.Draining, change.Draining, nil),
	}
}

// merge returns base with the entries of set added or replaced and the retired keys
// removed. It returns base itself if there is nothing to change, so that a change
// of one adapter does not copy the other maps.
func merge[K comparable, V any](base, set map[K]V, retired []K) map[K]V {
	if len(set) == 0 && len(retired) == 0 {
		return base
	}
	merged := maps.Clone(base)
	if merged == nil {
		merged = make(map[K]V, len(set))
	}
	maps.Copy(merged, set)
	for _, key := range retired {
		delete(merged, key)
	}
	return merged
}

package configuration

import (
	"maps"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Change leads from one revision to the next. Each map holds what was set;
// each Retire list names what was removed.
type Change struct {
	// Revision is the revision that the change leads to; it is one more than
	// the revision that it starts from.
	Revision Revision `json:"revision"`
	// Operation is the operation that made the change.
	Operation OperationID `json:"operation"`
	// Description says what the operator asked for, in full, so that a repeated
	// call is recognized although other changes came between. It may be empty.
	Description string `json:"description,omitempty"`

	Adapters     map[fleet.AdapterName]Adapter     `json:"adapters,omitempty"`
	Applications map[ApplicationName]Application   `json:"applications,omitempty"`
	Kinds        map[KindName]Kind                 `json:"kinds,omitempty"`
	Engines      map[fleet.EngineName]fleet.Engine `json:"engines,omitempty"`
	Services     map[ServiceName]Service           `json:"services,omitempty"`
	Draining     map[string]bool                   `json:"draining,omitempty"`

	RetireAdapters     []fleet.AdapterName `json:"retire-adapters,omitempty"`
	RetireApplications []ApplicationName   `json:"retire-applications,omitempty"`
	RetireKinds        []KindName          `json:"retire-kinds,omitempty"`
	RetireEngines      []fleet.EngineName  `json:"retire-engines,omitempty"`
	RetireServices     []ServiceName       `json:"retire-services,omitempty"`
}

// InitialChange returns the change that leads from nothing to the configuration.
// All hosts that propose the same configuration propose the same operation.
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

// Apply returns the configuration after the change. The receiver is not
// modified. The caller checks that c.Revision+1 equals change.Revision.
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

// merge shares the base map when the change does not touch it, so that a
// change of one adapter does not copy the other maps.
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

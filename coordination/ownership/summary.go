package ownership

import (
	"slices"
	"strings"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// Summary returns the state of the engine that is published to other hosts.
func (o *Owner) Summary() fleet.EngineSummary {
	o.setup()
	return *o.summary.Load()
}

// publishSummary replaces the summary if something changed. Its Version grows
// only with changes of the instances or of the engine's start number.
func (o *Owner) publishSummary() {
	last := o.summary.Load()
	var instances []fleet.Instance
	for _, e := range o.residencies {
		if e.state == stateResident && e.grantable {
			instances = append(instances, e.instance)
		}
	}
	slices.SortFunc(instances, func(a, b fleet.Instance) int { return strings.Compare(a.String(), b.String()) })
	s := fleet.EngineSummary{
		Engine: o.Engine.Name, Owner: o.Host, Epoch: o.Epoch, Version: last.Version, Start: o.engineStart,
		Instances: instances, Running: o.report.Running, Waiting: o.report.Waiting,
	}
	same := slices.Equal(instances, last.Instances) && s.Start == last.Start
	if same && s.Running == last.Running && s.Waiting == last.Waiting {
		return
	}
	if !same {
		s.Version++
	}
	o.summary.Store(&s)
}

// Package peer contains the messages of the protocol between entry hosts, and converts
// them to and from the structs of the other packages.
package peer

import (
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// FromHeartbeat converts a heartbeat to its message.
func FromHeartbeat(h fleet.Heartbeat) *Heartbeat {
	message := &Heartbeat{
		Host:              fromHost(h.Host),
		Revision:          h.Revision,
		Sequence:          h.Sequence,
		Acknowledged:      h.Acknowledged,
		AcknowledgedStart: uint64(h.AcknowledgedStart),
		AssumedStart:      uint64(h.AssumedStart),
	}
	for _, summary := range h.Engines {
		message.Engines = append(message.Engines, fromSummary(summary))
	}
	for _, leaving := range h.Leaving {
		message.Leaving = append(message.Leaving, &Leaving{Name: leaving.Name, Start: uint64(leaving.Start)})
	}
	for _, known := range h.KnownHosts {
		message.Known = append(message.Known, &Sighting{Host: fromHost(known.Host), Revision: known.Revision})
	}
	return message
}

// ToHeartbeat converts a message to a heartbeat. It returns an error if the sender has
// no name or the name of an instance is not valid.
func ToHeartbeat(message *Heartbeat) (fleet.Heartbeat, error) {
	h := fleet.Heartbeat{
		Host:              toHost(message.GetHost()),
		Revision:          message.GetRevision(),
		Sequence:          message.GetSequence(),
		Acknowledged:      message.GetAcknowledged(),
		AcknowledgedStart: fleet.StartNumber(message.GetAcknowledgedStart()),
		AssumedStart:      fleet.StartNumber(message.GetAssumedStart()),
	}
	if h.Host.Name == "" {
		return fleet.Heartbeat{}, fmt.Errorf("heartbeat: name of the sender is missing")
	}
	for _, summary := range message.GetEngines() {
		converted, err := toSummary(summary)
		if err != nil {
			return fleet.Heartbeat{}, fmt.Errorf("heartbeat of %s: %w", h.Host.Name, err)
		}
		h.Engines = append(h.Engines, converted)
	}
	for _, leaving := range message.GetLeaving() {
		h.Leaving = append(h.Leaving, fleet.LeavingMember{Name: leaving.GetName(), Start: fleet.StartNumber(leaving.GetStart())})
	}
	for _, known := range message.GetKnown() {
		h.KnownHosts = append(h.KnownHosts, fleet.KnownHost{Host: toHost(known.GetHost()), Revision: known.GetRevision()})
	}
	return h, nil
}

func fromHost(h fleet.Host) *Host {
	return &Host{
		Name:          string(h.Name),
		Start:         uint64(h.Start),
		FailureDomain: string(h.FailureDomain),
		Region:        string(h.Region),
		PeerAddress:   h.PeerAddress,
		State:         string(h.State),
	}
}

func toHost(message *Host) fleet.Host {
	return fleet.Host{
		Name:          fleet.HostName(message.GetName()),
		Start:         fleet.StartNumber(message.GetStart()),
		FailureDomain: fleet.FailureDomainName(message.GetFailureDomain()),
		Region:        fleet.RegionName(message.GetRegion()),
		PeerAddress:   message.GetPeerAddress(),
		State:         fleet.HostState(message.GetState()),
	}
}

func fromSummary(s fleet.EngineSummary) *EngineSummary {
	message := &EngineSummary{
		Engine:      string(s.Engine),
		Owner:       string(s.Owner),
		Epoch:       uint64(s.Epoch),
		Version:     s.Version,
		EngineStart: uint64(s.Start),
		Running:     int32(s.Running),
		Waiting:     int32(s.Waiting),
		Report:      s.LoadVersion,
		Partial:     s.InstancesOmitted,
	}
	message.Instances = fromInstances(s.Instances)
	return message
}

func toSummary(message *EngineSummary) (fleet.EngineSummary, error) {
	instances, err := toInstances(message.GetInstances())
	if err != nil {
		return fleet.EngineSummary{}, fmt.Errorf("engine %s: %w", message.GetEngine(), err)
	}
	return fleet.EngineSummary{
		Engine:           fleet.EngineName(message.GetEngine()),
		Owner:            fleet.HostName(message.GetOwner()),
		Epoch:            fleet.Epoch(message.GetEpoch()),
		Version:          message.GetVersion(),
		Start:            fleet.StartNumber(message.GetEngineStart()),
		Instances:        instances,
		Running:          int(message.GetRunning()),
		Waiting:          int(message.GetWaiting()),
		LoadVersion:      message.GetReport(),
		InstancesOmitted: message.GetPartial(),
	}, nil
}

func fromInstances(instances []fleet.Instance) []string {
	var names []string
	for _, instance := range instances {
		names = append(names, instance.String())
	}
	return names
}

func toInstances(names []string) ([]fleet.Instance, error) {
	var instances []fleet.Instance
	for _, name := range names {
		instance, err := fleet.ParseInstance(name)
		if err != nil {
			return nil, err
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

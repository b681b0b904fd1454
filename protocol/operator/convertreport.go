package operator

import (
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// ConvertAll returns the conversions of a list's elements; it is never nil, so that
// programs see an empty list as a list.
func ConvertAll[From, To any](list []From, convert func(From) To) []To {
	converted := make([]To, 0, len(list))
	for _, element := range list {
		converted = append(converted, convert(element))
	}
	return converted
}

// FromAdapter returns the message of an adapter.
func FromAdapter(a configuration.Adapter) *Adapter {
	return &Adapter{
		Name: string(a.Name), Current: int64(a.Current),
		Versions: ConvertAll(a.Versions, func(v fleet.AdapterVersion) int64 { return int64(v) }),
	}
}

// ToAdapter returns the adapter of a message.
func ToAdapter(message *Adapter) configuration.Adapter {
	return configuration.Adapter{
		Name: fleet.AdapterName(message.GetName()), Current: fleet.AdapterVersion(message.GetCurrent()),
		Versions: ConvertAll(message.GetVersions(), func(v int64) fleet.AdapterVersion { return fleet.AdapterVersion(v) }),
	}
}

// FromApplication returns the message of an application.
func FromApplication(a configuration.Application) *Application {
	return &Application{Name: string(a.Name), TokenHash: a.TokenHash, Kinds: texts(a.Kinds), Concurrency: int64(a.MaxConcurrency)}
}

// ToApplication returns the application of a message.
func ToApplication(message *Application) configuration.Application {
	return configuration.Application{
		Name: configuration.ApplicationName(message.GetName()), TokenHash: message.GetTokenHash(),
		Kinds: names[configuration.KindName](message.GetKinds()), MaxConcurrency: int(message.GetConcurrency()),
	}
}

// FromKind returns the message of a kind.
func FromKind(k configuration.Kind) *Kind {
	return &Kind{
		Name: string(k.Name), Urgency: string(k.Urgency), Repeat: string(k.Repeat),
		DeadlineNanoseconds: int64(k.Timeout), Objective: k.Objective,
	}
}

// ToKind returns the kind of a message.
func ToKind(message *Kind) configuration.Kind {
	return configuration.Kind{
		Name: configuration.KindName(message.GetName()), Urgency: configuration.Urgency(message.GetUrgency()),
		Repeat: configuration.RepeatRule(message.GetRepeat()), Timeout: time.Duration(message.GetDeadlineNanoseconds()),
		Objective: message.GetObjective(),
	}
}

// FromServer returns the message of a backend server.
func FromServer(s operation.Server) *Server {
	return &Server{
		Name: s.Name, Group: s.Group, Role: string(s.Role), FailureDomain: string(s.FailureDomain), Address: s.Address,
		Draining: s.Draining, Leaving: s.Leaving,
	}
}

// ToServer returns the backend server of a message.
func ToServer(message *Server) operation.Server {
	return operation.Server{
		Name: message.GetName(), Group: message.GetGroup(), Role: operation.ServerRole(message.GetRole()),
		FailureDomain: fleet.FailureDomainName(message.GetFailureDomain()), Address: message.GetAddress(),
		Draining: message.GetDraining(), Leaving: message.GetLeaving(),
	}
}

// FromHost returns the message of an entry host.
func FromHost(h operation.Host) *Host {
	return &Host{
		Name: string(h.Name), Start: uint64(h.Start), FailureDomain: string(h.FailureDomain), Region: string(h.Region),
		PeerAddress: h.PeerAddress, State: string(h.State), Heard: h.Reachable, Revision: uint64(h.Revision),
	}
}

// ToHost returns the entry host of a message.
func ToHost(message *Host) operation.Host {
	return operation.Host{
		Name: fleet.HostName(message.GetName()), Start: fleet.StartNumber(message.GetStart()),
		FailureDomain: fleet.FailureDomainName(message.GetFailureDomain()), Region: fleet.RegionName(message.GetRegion()),
		PeerAddress: message.GetPeerAddress(), State: fleet.HostState(message.GetState()), Reachable: message.GetHeard(),
		Revision: configuration.Revision(message.GetRevision()),
	}
}

// FromEngine returns the message of an engine.
func FromEngine(e operation.Engine) *Engine {
	return &Engine{
		Name: string(e.Name), Pool: e.Pool, FailureDomain: string(e.FailureDomain), Owner: string(e.Owner), OwnerHeard: e.OwnerReachable,
		Epoch: uint64(e.Epoch), Instances: e.Instances, Slots: int64(e.Slots), Running: int64(e.Running), Waiting: int64(e.Waiting),
		Draining: e.Draining,
	}
}

// ToEngine returns the engine of a message.
func ToEngine(message *Engine) operation.Engine {
	return operation.Engine{
		Name: fleet.EngineName(message.GetName()), Pool: message.GetPool(), FailureDomain: fleet.FailureDomainName(message.GetFailureDomain()),
		Owner: fleet.HostName(message.GetOwner()), OwnerReachable: message.GetOwnerHeard(), Epoch: fleet.Epoch(message.GetEpoch()),
		Instances: ConvertAll(message.GetInstances(), func(name string) string { return name }), Slots: int(message.GetSlots()), Running: int(message.GetRunning()),
		Waiting: int(message.GetWaiting()), Draining: message.GetDraining(),
	}
}

// FromRevision returns the message of a revision.
func FromRevision(r operation.RevisionStatus) *ShowRevisionReply {
	return &ShowRevisionReply{
		Revision: uint64(r.Revision), OperationId: string(r.Operation), Description: r.Description,
		Has: texts(r.Applied), HasNot: texts(r.Pending), Silent: texts(r.Unreachable),
	}
}

// ToRevision returns the revision of a message.
func ToRevision(message *ShowRevisionReply) operation.RevisionStatus {
	return operation.RevisionStatus{
		Revision: configuration.Revision(message.GetRevision()), Operation: configuration.OperationID(message.GetOperationId()),
		Description: message.GetDescription(), Applied: ConvertAll(message.GetHas(), toHostName),
		Pending: ConvertAll(message.GetHasNot(), toHostName), Unreachable: ConvertAll(message.GetSilent(), toHostName),
	}
}

func toHostName(name string) fleet.HostName {
	return fleet.HostName(name)
}

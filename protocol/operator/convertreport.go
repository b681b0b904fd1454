package operator

import (
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// ConvertAll returns a list with each element converted. The result is never nil, so
// that an empty list is encoded in JSON as [] and not as null.
func ConvertAll[From, To any](list []From, convert func(From) To) []To {
	converted := make([]To, 0, len(list))
	for _, element := range list {
		converted = append(converted, convert(element))
	}
	return converted
}

// FromAdapter converts an adapter to its message.
func FromAdapter(a configuration.Adapter) *Adapter {
	return &Adapter{
		Name: string(a.Name), Current: int64(a.Current),
		Versions: ConvertAll(a.Versions, func(v fleet.AdapterVersion) int64 { return int64(v) }),
	}
}

// ToAdapter converts a message to an adapter.
func ToAdapter(message *Adapter) configuration.Adapter {
	return configuration.Adapter{
		Name: fleet.AdapterName(message.GetName()), Current: fleet.AdapterVersion(message.GetCurrent()),
		Versions: ConvertAll(message.GetVersions(), func(v int64) fleet.AdapterVersion { return fleet.AdapterVersion(v) }),
	}
}

// FromApplication converts an application to its message.
func FromApplication(a configuration.Application) *Application {
	return &Application{Name: string(a.Name), TokenHash: a.TokenHash, Kinds: toStrings(a.Kinds), Concurrency: int64(a.MaxConcurrency)}
}

// ToApplication converts a message to an application.
func ToApplication(message *Application) configuration.Application {
	return configuration.Application{
		Name: configuration.ApplicationName(message.GetName()), TokenHash: message.GetTokenHash(),
		Kinds: toNames[configuration.KindName](message.GetKinds()), MaxConcurrency: int(message.GetConcurrency()),
	}
}

// FromKind converts a kind of requests to its message.
func FromKind(k configuration.Kind) *Kind {
	return &Kind{
		Name: string(k.Name), Urgency: string(k.Urgency), Repeat: string(k.Repeat),
		DeadlineNanoseconds: int64(k.Timeout), Objective: k.Objective,
	}
}

// ToKind converts a message to a kind of requests.
func ToKind(message *Kind) configuration.Kind {
	return configuration.Kind{
		Name: configuration.KindName(message.GetName()), Urgency: configuration.Urgency(message.GetUrgency()),
		Repeat: configuration.RepeatRule(message.GetRepeat()), Timeout: time.Duration(message.GetDeadlineNanoseconds()),
		Objective: message.GetObjective(),
	}
}

// FromServer converts a backend server to its message.
func FromServer(s operation.Server) *Server {
	return &Server{
		Name: s.Name, Group: s.Group, Role: string(s.Role), FailureDomain: string(s.FailureDomain), Address: s.Address,
		Draining: s.Draining, Leaving: s.Leaving,
	}
}

// ToServer converts a message to a backend server.
func ToServer(message *Server) operation.Server {
	return operation.Server{
		Name: message.GetName(), Group: message.GetGroup(), Role: operation.ServerRole(message.GetRole()),
		FailureDomain: fleet.FailureDomainName(message.GetFailureDomain()), Address: message.GetAddress(),
		Draining: message.GetDraining(), Leaving: message.GetLeaving(),
	}
}

// FromHost converts an entry host to its message.
func FromHost(h operation.Host) *Host {
	return &Host{
		Name: string(h.Name), Start: uint64(h.Start), FailureDomain: string(h.FailureDomain), Region: string(h.Region),
		PeerAddress: h.PeerAddress, State: string(h.State), Heard: h.Reachable, Revision: uint64(h.Revision),
	}
}

// ToHost converts a message to an entry host.
func ToHost(message *Host) operation.Host {
	return operation.Host{
		Name: fleet.HostName(message.GetName()), Start: fleet.StartNumber(message.GetStart()),
		FailureDomain: fleet.FailureDomainName(message.GetFailureDomain()), Region: fleet.RegionName(message.GetRegion()),
		PeerAddress: message.GetPeerAddress(), State: fleet.HostState(message.GetState()), Reachable: message.GetHeard(),
		Revision: configuration.Revision(message.GetRevision()),
	}
}

// FromEngine converts an engine to its message.
func FromEngine(e operation.Engine) *Engine {
	return &Engine{
		Name: string(e.Name), Pool: e.Pool, FailureDomain: string(e.FailureDomain), Owner: string(e.Owner), OwnerHeard: e.OwnerReachable,
		Epoch: uint64(e.Epoch), Instances: e.Instances, Slots: int64(e.Slots), Running: int64(e.Running), Waiting: int64(e.Waiting),
		Draining: e.Draining,
	}
}

// ToEngine converts a message to an engine.
func ToEngine(message *Engine) operation.Engine {
	return operation.Engine{
		Name: fleet.EngineName(message.GetName()), Pool: message.GetPool(), FailureDomain: fleet.FailureDomainName(message.GetFailureDomain()),
		Owner: fleet.HostName(message.GetOwner()), OwnerReachable: message.GetOwnerHeard(), Epoch: fleet.Epoch(message.GetEpoch()),
		Instances: ConvertAll(message.GetInstances(), func(name string) string { return name }), Slots: int(message.GetSlots()), Running: int(message.GetRunning()),
		Waiting: int(message.GetWaiting()), Draining: message.GetDraining(),
	}
}

// FromRevision converts the status of a revision to its message.
func FromRevision(r operation.RevisionStatus) *ShowRevisionReply {
	return &ShowRevisionReply{
		Revision: uint64(r.Revision), OperationId: string(r.Operation), Description: r.Description,
		Has: toStrings(r.Applied), HasNot: toStrings(r.Pending), Silent: toStrings(r.Unreachable),
	}
}

// ToRevision converts a message to the status of a revision.
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

package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// FromDemand converts a grant request to its message.
func FromDemand(d dispatch.GrantRequest) *DemandRequest {
	return &DemandRequest{
		Engine:              string(d.Engine),
		Adapter:             d.Adapter.String(),
		Request:             string(d.RunID),
		Holder:              string(d.Holder),
		PatienceNanoseconds: int64(d.MaxWait),
		DurationNanoseconds: int64(d.Duration),
		Urgency:             d.Urgency,
	}
}

// ToDemand converts a message to a grant request. It returns an error unless the
// adapter is NAME@VERSION.
func ToDemand(message *DemandRequest) (dispatch.GrantRequest, error) {
	adapter, err := fleet.ParseAdapterReference(message.GetAdapter())
	if err != nil {
		return dispatch.GrantRequest{}, fmt.Errorf("demand: %w", err)
	}
	if adapter.Version == 0 {
		return dispatch.GrantRequest{}, fmt.Errorf("demand: adapter %q: version is missing, expected name@version", message.GetAdapter())
	}
	return dispatch.GrantRequest{
		Engine:   fleet.EngineName(message.GetEngine()),
		Adapter:  adapter,
		RunID:    fleet.RequestID(message.GetRequest()),
		Holder:   fleet.HostName(message.GetHolder()),
		MaxWait:  time.Duration(message.GetPatienceNanoseconds()),
		Duration: time.Duration(message.GetDurationNanoseconds()),
		Urgency:  message.GetUrgency(),
	}, nil
}

// FromGrant converts a grant to its message.
func FromGrant(g fleet.Grant) *Grant {
	return &Grant{
		Engine:              string(g.Engine),
		EngineStart:         uint64(g.EngineStart),
		Address:             g.Address,
		Instance:            g.Instance.String(),
		Epoch:               uint64(g.Epoch),
		Request:             string(g.RunID),
		Holder:              string(g.Holder),
		DurationNanoseconds: int64(g.Duration),
		StalledNanoseconds:  int64(g.LoadStall),
	}
}

// ToGrant converts a message to a grant. It returns an error if the name of the
// instance is not valid.
func ToGrant(message *Grant) (fleet.Grant, error) {
	instance, err := fleet.ParseInstance(message.GetInstance())
	if err != nil {
		return fleet.Grant{}, fmt.Errorf("grant: %w", err)
	}
	return fleet.Grant{
		Engine:      fleet.EngineName(message.GetEngine()),
		EngineStart: fleet.StartNumber(message.GetEngineStart()),
		Address:     message.GetAddress(),
		Instance:    instance,
		Epoch:       fleet.Epoch(message.GetEpoch()),
		RunID:       fleet.RequestID(message.GetRequest()),
		Holder:      fleet.HostName(message.GetHolder()),
		Duration:    time.Duration(message.GetDurationNanoseconds()),
		LoadStall:   time.Duration(message.GetStalledNanoseconds()),
	}, nil
}

// FromGrants converts grants to their messages.
func FromGrants(grants []fleet.Grant) []*Grant {
	var messages []*Grant
	for _, grant := range grants {
		messages = append(messages, FromGrant(grant))
	}
	return messages
}

// ToGrants converts messages to grants. It returns the error of the first message that
// is not valid.
func ToGrants(messages []*Grant) ([]fleet.Grant, error) {
	var grants []fleet.Grant
	for _, message := range messages {
		grant, err := ToGrant(message)
		if err != nil {
			return nil, err
		}
		grants = append(grants, grant)
	}
	return grants, nil
}

// FromHandOver converts the hand-over of an engine to its message.
func FromHandOver(h fleet.HandOver) *HandOverRequest {
	return &HandOverRequest{
		Engine:      string(h.Engine),
		Epoch:       uint64(h.Epoch),
		EngineStart: uint64(h.Start),
		Instances:   fromInstances(h.Instances),
		Grants:      FromGrants(h.Grants),
		From:        string(h.From),
	}
}

// ToHandOver converts a message to the hand-over of an engine. It returns an error if
// the name of an instance is not valid.
func ToHandOver(message *HandOverRequest) (fleet.HandOver, error) {
	instances, err := toInstances(message.GetInstances())
	if err != nil {
		return fleet.HandOver{}, fmt.Errorf("hand-over of engine %s: %w", message.GetEngine(), err)
	}
	grants, err := ToGrants(message.GetGrants())
	if err != nil {
		return fleet.HandOver{}, fmt.Errorf("hand-over of engine %s: %w", message.GetEngine(), err)
	}
	return fleet.HandOver{
		Engine:    fleet.EngineName(message.GetEngine()),
		Epoch:     fleet.Epoch(message.GetEpoch()),
		Start:     fleet.StartNumber(message.GetEngineStart()),
		Instances: instances,
		Grants:    grants,
		From:      fleet.HostName(message.GetFrom()),
	}, nil
}

// FromRefusal converts the error of a refused call to its message. The verdict is
// always NotRun, because a request without a grant, a permit or a place does not run,
// whatever the cause. An error that is no *verdict.Error gets the code internal.
func FromRefusal(err error) *Refusal {
	failure := &verdict.Error{Code: verdict.CodeInternal, Message: err.Error()}
	var known *verdict.Error
	if errors.As(err, &known) {
		failure = known
	}
	return &Refusal{
		Verdict:               string(verdict.NotRun),
		Code:                  string(failure.Code),
		Message:               failure.Error(),
		RetryAfterNanoseconds: int64(failure.RetryAfter),
	}
}

// ToRefusal converts the message of a refused call to its error, with verdict NotRun.
func ToRefusal(message *Refusal) *verdict.Error {
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Code:       verdict.Code(message.GetCode()),
		Message:    message.GetMessage(),
		RetryAfter: time.Duration(message.GetRetryAfterNanoseconds()),
	}
}

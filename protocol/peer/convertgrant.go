package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// FromDemand returns the message of a demand.
func FromDemand(d dispatch.GrantRequest) *DemandRequest {
	return &DemandRequest{
		Engine:              string(d.Engine),
		Adapter:             d.Adapter.String(),
		Request:             string(d.Request),
		Holder:              string(d.Holder),
		PatienceNanoseconds: int64(d.MaxWait),
		DurationNanoseconds: int64(d.Duration),
		Urgency:             d.Urgency,
	}
}

// ToDemand returns the demand of a message.
func ToDemand(message *DemandRequest) (dispatch.GrantRequest, error) {
	adapter, err := fleet.ParseAdapterReference(message.GetAdapter())
	if err != nil {
		return dispatch.GrantRequest{}, fmt.Errorf("demand: %w", err)
	}
	if adapter.Version == 0 {
		return dispatch.GrantRequest{}, fmt.Errorf("demand: adapter %q has no version", message.GetAdapter())
	}
	return dispatch.GrantRequest{
		Engine:   fleet.EngineName(message.GetEngine()),
		Adapter:  adapter,
		Request:  fleet.RequestID(message.GetRequest()),
		Holder:   fleet.HostName(message.GetHolder()),
		MaxWait:  time.Duration(message.GetPatienceNanoseconds()),
		Duration: time.Duration(message.GetDurationNanoseconds()),
		Urgency:  message.GetUrgency(),
	}, nil
}

// FromGrant returns the message of a grant.
func FromGrant(g fleet.Grant) *Grant {
	return &Grant{
		Engine:              string(g.Engine),
		EngineStart:         uint64(g.EngineStart),
		Address:             g.Address,
		Instance:            g.Instance.String(),
		Epoch:               uint64(g.Epoch),
		Request:             string(g.Request),
		Holder:              string(g.Holder),
		DurationNanoseconds: int64(g.Duration),
		StalledNanoseconds:  int64(g.LoadStall),
	}
}

// ToGrant returns the grant of a message.
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
		Request:     fleet.RequestID(message.GetRequest()),
		Holder:      fleet.HostName(message.GetHolder()),
		Duration:    time.Duration(message.GetDurationNanoseconds()),
		LoadStall:   time.Duration(message.GetStalledNanoseconds()),
	}, nil
}

// FromGrants returns the messages of grants.
func FromGrants(grants []fleet.Grant) []*Grant {
	var messages []*Grant
	for _, grant := range grants {
		messages = append(messages, FromGrant(grant))
	}
	return messages
}

// ToGrants returns the grants of messages.
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

// FromHandOver returns the message of a hand-over.
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

// ToHandOver returns the hand-over of a message.
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

// FromRefusal returns the message of a refused demand. A demand that got no
// grant did not run, whatever the cause.
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

// ToRefusal returns the error of a refused demand.
func ToRefusal(message *Refusal) *verdict.Error {
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Code:       verdict.Code(message.GetCode()),
		Message:    message.GetMessage(),
		RetryAfter: time.Duration(message.GetRetryAfterNanoseconds()),
	}
}

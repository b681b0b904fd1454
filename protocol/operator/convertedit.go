package operator

import (
	"fmt"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// FromRequest converts an edit request to its message. It returns an error for a type
// of edit that the protocol does not have.
func FromRequest(r operation.EditRequest) (*ChangeRequest, error) {
	message := &ChangeRequest{ExpectedRevision: uint64(r.ExpectedRevision), OperationId: string(r.OperationID)}
	switch e := r.Edit.(type) {
	case operation.CreateAdapter:
		message.Edit = &ChangeRequest_CreateAdapter{&CreateAdapter{Adapter: FromAdapter(e.Adapter)}}
	case operation.RetireAdapter:
		message.Edit = &ChangeRequest_RetireAdapter{&RetireAdapter{Name: string(e.Name)}}
	case operation.AddVersion:
		message.Edit = &ChangeRequest_AddVersion{&AddVersion{Adapter: string(e.Adapter), Version: int64(e.Version), Current: e.Current}}
	case operation.RetireVersion:
		message.Edit = &ChangeRequest_RetireVersion{&RetireVersion{Adapter: string(e.Adapter), Version: int64(e.Version)}}
	case operation.SetCurrent:
		message.Edit = &ChangeRequest_SetCurrent{&SetCurrent{Adapter: string(e.Adapter), Version: int64(e.Version)}}
	case operation.SetApplication:
		set := &SetApplication{Name: string(e.Name), TokenHash: e.TokenHash, Kinds: toStrings(e.Kinds)}
		if e.Concurrency != nil {
			concurrency := int64(*e.Concurrency)
			set.Concurrency = &concurrency
		}
		message.Edit = &ChangeRequest_SetApplication{set}
	case operation.RetireApplication:
		message.Edit = &ChangeRequest_RetireApplication{&RetireApplication{Name: string(e.Name)}}
	case operation.SetKind:
		message.Edit = &ChangeRequest_SetKind{&SetKind{
			Name: string(e.Name), Urgency: string(e.Urgency), Repeat: string(e.Repeat),
			DeadlineNanoseconds: int64(e.Deadline), Objective: e.Objective,
		}}
	case operation.RetireKind:
		message.Edit = &ChangeRequest_RetireKind{&RetireKind{Name: string(e.Name)}}
	case operation.SetDraining:
		message.Edit = &ChangeRequest_SetDraining{&SetDraining{Server: e.Server, Draining: e.Draining}}
	default:
		return nil, fmt.Errorf("edit of type %T: not part of the protocol", e)
	}
	return message, nil
}

// ToRequest converts a message to an edit request. It returns an error, which is a
// *verdict.Error with verdict NotRun, if the message has no edit or one that this host
// does not know.
func ToRequest(message *ChangeRequest) (operation.EditRequest, error) {
	edit := toEdit(message)
	if edit == nil {
		return operation.EditRequest{}, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeMalformed, Message: "change is not valid",
			Cause: &configuration.FieldError{Path: "edit", Problem: "is missing or not known to this host"},
		}
	}
	return operation.EditRequest{
		ExpectedRevision: configuration.Revision(message.GetExpectedRevision()),
		OperationID:      configuration.OperationID(message.GetOperationId()),
		Edit:             edit,
	}, nil
}

// toEdit returns the edit of a message, or nil if the message has no known edit.
func toEdit(message *ChangeRequest) operation.Edit {
	switch {
	case message.GetCreateAdapter() != nil:
		return operation.CreateAdapter{Adapter: ToAdapter(message.GetCreateAdapter().GetAdapter())}
	case message.GetRetireAdapter() != nil:
		return operation.RetireAdapter{Name: fleet.AdapterName(message.GetRetireAdapter().GetName())}
	case message.GetAddVersion() != nil:
		e := message.GetAddVersion()
		return operation.AddVersion{Adapter: fleet.AdapterName(e.GetAdapter()), Version: fleet.AdapterVersion(e.GetVersion()), Current: e.GetCurrent()}
	case message.GetRetireVersion() != nil:
		e := message.GetRetireVersion()
		return operation.RetireVersion{Adapter: fleet.AdapterName(e.GetAdapter()), Version: fleet.AdapterVersion(e.GetVersion())}
	case message.GetSetCurrent() != nil:
		e := message.GetSetCurrent()
		return operation.SetCurrent{Adapter: fleet.AdapterName(e.GetAdapter()), Version: fleet.AdapterVersion(e.GetVersion())}
	case message.GetSetApplication() != nil:
		e := message.GetSetApplication()
		edit := operation.SetApplication{
			Name: configuration.ApplicationName(e.GetName()), TokenHash: e.GetTokenHash(), Kinds: toNames[configuration.KindName](e.GetKinds()),
		}
		if e.Concurrency != nil {
			concurrency := int(e.GetConcurrency())
			edit.Concurrency = &concurrency
		}
		return edit
	case message.GetRetireApplication() != nil:
		return operation.RetireApplication{Name: configuration.ApplicationName(message.GetRetireApplication().GetName())}
	case message.GetSetKind() != nil:
		e := message.GetSetKind()
		return operation.SetKind{
			Name: configuration.KindName(e.GetName()), Urgency: configuration.Urgency(e.GetUrgency()),
			Repeat: configuration.RepeatRule(e.GetRepeat()), Deadline: time.Duration(e.GetDeadlineNanoseconds()), Objective: e.Objective,
		}
	case message.GetRetireKind() != nil:
		return operation.RetireKind{Name: configuration.KindName(message.GetRetireKind().GetName())}
	case message.GetSetDraining() != nil:
		return operation.SetDraining{Server: message.GetSetDraining().GetServer(), Draining: message.GetSetDraining().GetDraining()}
	}
	return nil
}

// toStrings converts a list of names to strings. An empty list gives nil.
func toStrings[N ~string](names []N) []string {
	var converted []string
	for _, name := range names {
		converted = append(converted, string(name))
	}
	return converted
}

// toNames converts a list of strings to names. An empty list gives nil.
func toNames[N ~string](texts []string) []N {
	var converted []N
	for _, text := range texts {
		converted = append(converted, N(text))
	}
	return converted
}

// Package operator has the messages between operators and entry hosts and their
// conversion to and from the plain structs.
package operator

import (
	"errors"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// FromFailure returns the message of a failure.
func FromFailure(err error) *Failure {
	known := verdict.FromError(err)
	message := &Failure{
		Verdict:               string(known.Verdict),
		Code:                  string(known.Code),
		Message:               known.Error(),
		RetryAfterNanoseconds: int64(known.RetryAfter),
	}
	var field *configuration.FieldError
	if errors.As(err, &field) {
		message.Message, message.Path, message.Problem = known.Message, field.Path, field.Problem
	}
	var conflict *revision.ConflictError
	if errors.As(err, &conflict) {
		message.ExpectedRevision, message.ActualRevision = uint64(conflict.Expected), uint64(conflict.Actual)
		message.Message = known.Message
	}
	return message
}

// ToFailure returns the error of a failed call; its cause is a
// *configuration.FieldError or a *revision.ConflictError where the message has one.
func ToFailure(message *Failure) *verdict.Error {
	failure := &verdict.Error{
		Verdict:    verdict.Verdict(message.GetVerdict()),
		Code:       verdict.Code(message.GetCode()),
		Message:    message.GetMessage(),
		RetryAfter: time.Duration(message.GetRetryAfterNanoseconds()),
	}
	// A message without a verdict proves nothing.
	if failure.Verdict != verdict.NotRun && failure.Verdict != verdict.Ran {
		failure.Verdict = verdict.MayHaveRun
	}
	switch {
	case failure.Code == verdict.CodeConflict:
		failure.Cause = &revision.ConflictError{
			Expected: configuration.Revision(message.GetExpectedRevision()),
			Actual:   configuration.Revision(message.GetActualRevision()),
		}
	case message.GetPath() != "":
		failure.Cause = &configuration.FieldError{Path: message.GetPath(), Problem: message.GetProblem()}
	}
	return failure
}

// FromFreshness returns the message of a freshness.
func FromFreshness(f operation.Freshness) *Freshness {
	message := &Freshness{
		Host: string(f.Host), Revision: uint64(f.Revision), Head: uint64(f.Head), PlatformUnreachable: f.PlatformUnreachable,
	}
	if f.Age != nil {
		age := int64(*f.Age)
		message.AgeNanoseconds = &age
	}
	return message
}

// ToFreshness returns the freshness of a message.
func ToFreshness(message *Freshness) operation.Freshness {
	f := operation.Freshness{
		Host:                fleet.HostName(message.GetHost()),
		Revision:            configuration.Revision(message.GetRevision()),
		Head:                configuration.Revision(message.GetHead()),
		PlatformUnreachable: message.GetPlatformUnreachable(),
	}
	if message != nil && message.AgeNanoseconds != nil {
		age := time.Duration(message.GetAgeNanoseconds())
		f.Age = &age
	}
	return f
}

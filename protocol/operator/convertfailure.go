// Package operator contains the messages of the protocol between operators and entry
// hosts, and converts them to and from the structs of the other packages.
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

// FromFailure converts the error of a call to its message. An error that is no
// *verdict.Error gets the code internal. Path and problem are set for a
// *configuration.FieldError, the two revisions for a *revision.ConflictError.
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

// ToFailure converts the message of a failed call to its error. The cause is a
// *revision.ConflictError for the code conflict, a *configuration.FieldError if the
// message has a path, and nil otherwise.
func ToFailure(message *Failure) *verdict.Error {
	failure := &verdict.Error{
		Verdict:    verdict.Verdict(message.GetVerdict()),
		Code:       verdict.Code(message.GetCode()),
		Message:    message.GetMessage(),
		RetryAfter: time.Duration(message.GetRetryAfterNanoseconds()),
	}
	// Without a known verdict it is not certain that the call had no effect.
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

// FromFreshness converts a Freshness to its message.
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

// ToFreshness converts a message to a Freshness. Age is nil if the message is nil or
// has no age.
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

// Package execution decides whether an answer proves that its request did not run. It depends on no
// encoding of answers: each transport fills in an Evidence from what its protocol has.
package execution

// An Evidence is all that an answer and its connection say about whether the request ran. The zero
// value is that of an answer that does not speak of it.
type Evidence struct {
	// IsStated means that the answer states, as its protocol has it, that the request did not run.
	IsStated bool
	// IsDenied means that the statement has a value that takes it back, as its only one or beside
	// others.
	IsDenied bool
	// HasOtherStatus means that servers do not refuse such a request with the status.
	HasOtherStatus bool
	// NamesOtherRequest means that the answer names a request that is not its own, alone or beside
	// its own. NamesNoRequest means that it names none.
	NamesOtherRequest, NamesNoRequest bool
	// OnReusedConnection means that the connection has carried an earlier request, to which an
	// answer without a name may belong.
	OnReusedConnection bool
	// NamesWrongServer means that the answer names a server that would not refuse the request in
	// this way.
	NamesWrongServer bool
	// IsSigned means that the answer has what only the answer of a run has, such as a signature.
	IsSigned bool
	// HasResult means that the body is called, or is, the result of a run.
	HasResult bool
	// IsIncomplete means that the body broke off, did not end in time, or was too long.
	IsIncomplete bool
	// HasFurtherInput means that more than the answer has arrived on the connection.
	HasFurtherInput bool
}

// A Doubt is the reason for which an answer does not prove that its request did not run.
type Doubt string

// The doubts. None means that the answer is a proof.
const (
	None           Doubt = ""
	NotStated      Doubt = "not-stated"
	OtherStatus    Doubt = "status-of-no-refusal"
	Denied         Doubt = "statement-denied"
	OtherRequest   Doubt = "other-request"
	UnnamedRequest Doubt = "unnamed-request"
	WrongServer    Doubt = "wrong-server"
	Signed         Doubt = "signed"
	Result         Doubt = "has-result"
	Incomplete     Doubt = "incomplete"
	FurtherInput   Doubt = "further-input"
)

// Doubt returns the first reason to doubt that the request did not run. A statement is believed only
// if nothing else that the answer and its connection say contradicts it: one of the two is wrong
// then, and a request that has run must not run again.
func (e Evidence) Doubt() Doubt {
	for _, check := range []struct {
		applies bool
		doubt   Doubt
	}{
		{!e.IsStated, NotStated},
		{e.IsDenied, Denied},
		{e.HasOtherStatus, OtherStatus},
		{e.NamesOtherRequest, OtherRequest},
		{e.NamesNoRequest && e.OnReusedConnection, UnnamedRequest},
		{e.NamesWrongServer, WrongServer},
		{e.IsSigned, Signed},
		{e.HasResult, Result},
		{e.IsIncomplete, Incomplete},
		{e.HasFurtherInput, FurtherInput},
	} {
		if check.applies {
			return check.doubt
		}
	}
	return None
}

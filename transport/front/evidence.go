package front

import (
	"net/http"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// refusalTimeout bounds the time for the body of a refusal. The request goes on only after it.
const refusalTimeout = 200 * time.Millisecond

// readEvidence returns what the response says about whether the request ran. It reads the body of a
// response whose head proves that it did not, since a refusal counts only as a whole.
func (r *response) readEvidence() execution.Evidence {
	e := r.readHeadEvidence()
	if e.Doubt() != execution.None {
		return e
	}
	e.IsIncomplete = !r.incoming.ReadToEnd(refusalTimeout)
	e.HasFurtherInput = r.incoming.HasFurtherInput()
	e.IsSigned = len(r.incoming.Trailer.Values(platform.HeaderResponseSignature)) > 0
	return e
}

// readHeadEvidence returns what the head of the response says about whether the request ran.
func (r *response) readHeadEvidence() execution.Evidence {
	status, header := r.incoming.StatusCode, r.incoming.Header
	id := r.exchange.request.Header.Get(platform.HeaderAttemptID)
	ids := header.Values(platform.HeaderAttemptID)
	isMisdirected := status == http.StatusMisdirectedRequest
	stated, denied := platform.DecodeNotExecuted(header)
	return execution.Evidence{
		IsStated:           stated || denied || isMisdirected,
		IsDenied:           denied,
		HasOtherStatus:     !platform.IsRefusalStatus(status, id != ""),
		NamesOtherRequest:  slices.ContainsFunc(ids, func(other string) bool { return other != id }),
		NamesNoRequest:     len(ids) == 0,
		OnReusedConnection: r.incoming.OnReusedConnection(),
		NamesWrongServer:   r.namesWrongServer(isMisdirected),
		IsSigned:           len(header.Values(platform.HeaderResponseSignature)) > 0,
		HasResult:          backend.HasResult(header),
	}
}

// namesWrongServer reports whether the response names a server that does not refuse the request in
// this way. A server that is not the expected one answers with status 421 only; the expected one
// does so only for a model or an adapter that it does not hold.
func (r *response) namesWrongServer(isMisdirected bool) bool {
	servers := r.incoming.Header.Values(platform.HeaderInstanceID)
	if len(servers) == 0 {
		return false
	}
	isExpected := servers[0] == r.expectedServer
	if slices.ContainsFunc(servers, func(other string) bool { return other != servers[0] }) {
		return true
	}
	if isMisdirected {
		return isExpected && r.exchange.request.Header.Get(platform.HeaderModel) == ""
	}
	return !isExpected
}

// isOwn reports whether the response has the attempt id of the request and no other one. Only a
// refusal may lack an id, also one that proves nothing for that reason.
func (r *response) isOwn() bool {
	if r.evidence.NamesOtherRequest {
		return false
	}
	if !r.evidence.NamesNoRequest {
		return true
	}
	if !r.evidence.IsStated {
		return r.exchange.request.Header.Get(platform.HeaderAttemptID) == ""
	}
	doubt := r.evidence.Doubt()
	return doubt == execution.None || doubt == execution.UnnamedRequest
}

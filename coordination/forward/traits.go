package forward

import (
	"context"
	"errors"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// errBlocked is the cause of the end of a send whose request has become blocked.
var errBlocked = errors.New("servers ended under requests with the same traits")

// traits returns what the request has in common with others that may crash servers in the
// same way. The quarantine judges only the first ones of a very long list.
func (r *Request) traits() []string {
	traits := make([]string, 0, len(r.PromptParts)+2)
	if r.Adapter.Name != "" {
		traits = append(traits, "adapter:"+r.Adapter.Model+"/"+r.Adapter.Name)
	}
	if r.ContentID != "" {
		traits = append(traits, "content:"+r.ContentID)
	}
	for _, id := range r.PromptParts {
		traits = append(traits, "part:"+id)
	}
	return traits
}

// watchBlocks returns a context for one send that ends with errBlocked if the request becomes
// blocked before its answer has begun. The server may not have begun the request yet, and then
// does not end under it. The returned function ends the context.
func (f *Forwarder) watchBlocks(ctx context.Context, p *progress) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := f.Quarantine.Watch(p.service, p.traits, func() { cancel(errBlocked) })
	p.stopWatch = stop
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// blockedFailure returns the failure of a send that may have ended because its request became
// blocked.
func blockedFailure(ctx context.Context, server *site.Server, failure *verdict.Error) *verdict.Error {
	if !errors.Is(context.Cause(ctx), errBlocked) {
		return failure
	}
	return &verdict.Error{Verdict: failure.Verdict, Code: verdict.CodePromptBlocked, Message: "send to server " + string(server.ID) + " ended", Cause: errBlocked}
}

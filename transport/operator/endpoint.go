package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"net"
	"slices"
	"strings"

	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmetadata"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/protocol/operator"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// tokenMetadataKey is the metadata key of the operator token.
const tokenMetadataKey = "operator-token"

// An endpoint implements the operator service: it authorizes calls, converts messages
// to structs and calls Editor and Status of the server.
type endpoint struct {
	server *Server
	// refusal is the reply to every authorized call if the server is overloaded or
	// stopping, and nil otherwise.
	refusal *verdict.Error
	// runContext is the context of Server.Run. Close cancels it after it has waited at
	// most drainTimeout for the calls in flight.
	runContext context.Context
}

// admit returns nil if the call is to be served, and the reason for refusing it
// otherwise.
func (e *endpoint) admit(ctx context.Context) error {
	if err := e.authorize(ctx); err != nil {
		return err
	}
	if e.refusal != nil {
		return e.refusal
	}
	return nil
}

// authorize checks the token. If the host has no token set, it checks that the call
// comes from loopback.
func (e *endpoint) authorize(ctx context.Context) error {
	if e.server.TokenHash == "" {
		if fromLoopback(ctx) {
			return nil
		}
		return verdict.NewNotRun(verdict.CodeUnauthorized, "entry host has no operator-token-hash and serves operators from loopback only")
	}
	metadata, _ := drpcmetadata.Get(ctx)
	hash := sha256.Sum256([]byte(metadata[tokenMetadataKey]))
	given := hex.EncodeToString(hash[:])
	if subtle.ConstantTimeCompare([]byte(given), []byte(strings.ToLower(e.server.TokenHash))) != 1 {
		return verdict.NewNotRun(verdict.CodeUnauthorized, "operator token is wrong")
	}
	return nil
}

// fromLoopback reports whether the call came over a loopback connection.
func fromLoopback(ctx context.Context) bool {
	transport, ok := drpcctx.Transport(ctx)
	if !ok {
		return false
	}
	connection, ok := transport.(net.Conn)
	if !ok {
		return false
	}
	address, ok := connection.RemoteAddr().(*net.TCPAddr)
	return ok && address.IP.IsLoopback()
}

// handleRead answers a read with the freshness of the host, or refuses it if it is not
// admitted. refuse and respond build the reply.
func handleRead[Reply any](ctx context.Context, e *endpoint, refuse func(*operator.Failure) Reply, respond func(*operator.Freshness, operation.Freshness) Reply) (Reply, error) {
	if err := e.admit(ctx); err != nil {
		return refuse(operator.FromFailure(err)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	freshness := e.server.Status.Freshness(ctx)
	return respond(operator.FromFreshness(freshness), freshness), nil
}

// Change applies an edit to the configuration.
func (e *endpoint) Change(ctx context.Context, message *operator.ChangeRequest) (*operator.ChangeReply, error) {
	if err := e.admit(ctx); err != nil {
		return &operator.ChangeReply{Failure: operator.FromFailure(err)}, nil
	}
	// A change continues when its operator disconnects, so that its outcome is recorded
	// and a repeated call returns it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handlerTimeout)
	defer cancel()
	defer context.AfterFunc(e.runContext, cancel)()
	request, err := operator.ToRequest(message)
	if err != nil {
		return &operator.ChangeReply{Failure: operator.FromFailure(err)}, nil
	}
	result, err := e.server.Editor.Apply(ctx, request)
	if err != nil {
		return &operator.ChangeReply{Failure: operator.FromFailure(err)}, nil
	}
	return &operator.ChangeReply{Revision: uint64(result.Revision), Repeated: result.Repeated}, nil
}

// convertMapByPrefix converts the elements whose names begin with prefix to messages,
// sorted by name.
func convertMapByPrefix[K ~string, V, M any](elements map[K]V, prefix string, convert func(V) M) []M {
	var messages []M
	for _, name := range slices.Sorted(maps.Keys(elements)) {
		if strings.HasPrefix(string(name), prefix) {
			messages = append(messages, convert(elements[name]))
		}
	}
	return messages
}

// convertListByPrefix converts the elements whose names begin with prefix to messages
// and keeps their order.
func convertListByPrefix[V, M any](elements []V, prefix string, name func(V) string, convert func(V) M) []M {
	var messages []M
	for _, element := range elements {
		if strings.HasPrefix(name(element), prefix) {
			messages = append(messages, convert(element))
		}
	}
	return messages
}

// ListAdapters answers with the adapters whose names begin with the prefix in the
// message.
func (e *endpoint) ListAdapters(ctx context.Context, message *operator.ListRequest) (*operator.ListAdaptersReply, error) {
	return handleRead(ctx, e,
		func(f *operator.Failure) *operator.ListAdaptersReply { return &operator.ListAdaptersReply{Failure: f} },
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListAdaptersReply {
			list := convertMapByPrefix(e.server.Status.Configuration().Adapters, message.GetPrefix(), operator.FromAdapter)
			return &operator.ListAdaptersReply{Freshness: f, Adapters: list}
		})
}

// ListApplications answers with the applications whose names begin with the prefix in
// the message.
func (e *endpoint) ListApplications(ctx context.Context, message *operator.ListRequest) (*operator.ListApplicationsReply, error) {
	return handleRead(ctx, e,
		func(f *operator.Failure) *operator.ListApplicationsReply {
			return &operator.ListApplicationsReply{Failure: f}
		},
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListApplicationsReply {
			list := convertMapByPrefix(e.server.Status.Configuration().Applications, message.GetPrefix(), operator.FromApplication)
			return &operator.ListApplicationsReply{Freshness: f, Applications: list}
		})
}

// ListKinds answers with the kinds whose names begin with the prefix in the message.
func (e *endpoint) ListKinds(ctx context.Context, message *operator.ListRequest) (*operator.ListKindsReply, error) {
	return handleRead(ctx, e,
		func(f *operator.Failure) *operator.ListKindsReply { return &operator.ListKindsReply{Failure: f} },
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListKindsReply {
			list := convertMapByPrefix(e.server.Status.Configuration().Kinds, message.GetPrefix(), operator.FromKind)
			return &operator.ListKindsReply{Freshness: f, Kinds: list}
		})
}

// ListServers answers with the backend servers whose names begin with the prefix in the
// message.
func (e *endpoint) ListServers(ctx context.Context, message *operator.ListRequest) (*operator.ListServersReply, error) {
	return handleRead(ctx, e,
		func(f *operator.Failure) *operator.ListServersReply { return &operator.ListServersReply{Failure: f} },
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListServersReply {
			list := convertListByPrefix(e.server.Status.ListServers(), message.GetPrefix(),
				func(s operation.Server) string { return s.Name }, operator.FromServer)
			return &operator.ListServersReply{Freshness: f, Servers: list}
		})
}

// ListHosts answers with the entry hosts whose names begin with the prefix in the
// message.
func (e *endpoint) ListHosts(ctx context.Context, message *operator.ListRequest) (*operator.ListHostsReply, error) {
	return handleRead(ctx, e,
		func(f *operator.Failure) *operator.ListHostsReply { return &operator.ListHostsReply{Failure: f} },
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListHostsReply {
			list := convertListByPrefix(e.server.Status.ListHosts(), message.GetPrefix(),
				func(h operation.Host) string { return string(h.Name) }, operator.FromHost)
			return &operator.ListHostsReply{Freshness: f, Hosts: list}
		})
}

// ListEngines answers with the engines whose names begin with the prefix in the
// message.
func (e *endpoint) ListEngines(ctx context.Context, message *operator.ListRequest) (*operator.ListEnginesReply, error) {
	return handleRead(ctx, e,
		func(f *operator.Failure) *operator.ListEnginesReply { return &operator.ListEnginesReply{Failure: f} },
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListEnginesReply {
			list := convertListByPrefix(e.server.Status.ListEngines(), message.GetPrefix(),
				func(n operation.Engine) string { return string(n.Name) }, operator.FromEngine)
			return &operator.ListEnginesReply{Freshness: f, Engines: list}
		})
}

// ShowRevision answers on which entry hosts a revision is applied. Revision 0 stands
// for the head, the highest accepted revision.
func (e *endpoint) ShowRevision(ctx context.Context, message *operator.ShowRevisionRequest) (*operator.ShowRevisionReply, error) {
	return handleRead(ctx, e,
		func(f *operator.Failure) *operator.ShowRevisionReply { return &operator.ShowRevisionReply{Failure: f} },
		func(f *operator.Freshness, known operation.Freshness) *operator.ShowRevisionReply {
			number := configuration.Revision(message.GetRevision())
			if number == 0 {
				number = known.Head
			}
			if number > known.Head {
				return &operator.ShowRevisionReply{Failure: operator.FromFailure(
					verdict.NewNotRun(verdict.CodeUnknownName, "revision %d is not accepted; the head is %d", number, known.Head))}
			}
			reply := operator.FromRevision(e.server.Status.ShowRevision(number))
			reply.Freshness = f
			return reply
		})
}

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

// tokenKey is the metadata entry that carries the operators' token.
const tokenKey = "operator-token"

// An endpoint checks who calls, converts messages and calls the handlers.
type endpoint struct {
	server *Server
	// refusal is set at the endpoint of calls that are not served.
	refusal *verdict.Error
	// running ends when Close has let calls in flight end for stopLimit.
	running context.Context
}

// admit returns nil for a call that is to be served.
func (e *endpoint) admit(ctx context.Context) error {
	if err := e.authorize(ctx); err != nil {
		return err
	}
	if e.refusal != nil {
		return e.refusal
	}
	return nil
}

// authorize checks the token, or the address where the host has no token.
func (e *endpoint) authorize(ctx context.Context) error {
	if e.server.TokenHash == "" {
		if fromLoopback(ctx) {
			return nil
		}
		return verdict.NewNotRun(verdict.CodeUnauthorized, "entry host has no operator-token-hash and serves operators from loopback only")
	}
	metadata, _ := drpcmetadata.Get(ctx)
	hash := sha256.Sum256([]byte(metadata[tokenKey]))
	given := hex.EncodeToString(hash[:])
	if subtle.ConstantTimeCompare([]byte(given), []byte(strings.ToLower(e.server.TokenHash))) != 1 {
		return verdict.NewNotRun(verdict.CodeUnauthorized, "token is not that of the operators")
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

// read admits a read and answers it with the freshness of the host.
func read[Reply any](ctx context.Context, e *endpoint, refuse func(*operator.Failure) Reply, answer func(*operator.Freshness, operation.Freshness) Reply) (Reply, error) {
	if err := e.admit(ctx); err != nil {
		return refuse(operator.FromFailure(err)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, handlerLimit)
	defer cancel()
	freshness := e.server.Status.Freshness(ctx)
	return answer(operator.FromFreshness(freshness), freshness), nil
}

// Change makes an edit.
func (e *endpoint) Change(ctx context.Context, message *operator.ChangeRequest) (*operator.ChangeReply, error) {
	if err := e.admit(ctx); err != nil {
		return &operator.ChangeReply{Failure: operator.FromFailure(err)}, nil
	}
	// A change goes on when its operator disconnects, so that its outcome is
	// recorded and a repeated call learns it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handlerLimit)
	defer cancel()
	defer context.AfterFunc(e.running, cancel)()
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

// selected returns the messages of the elements whose names have the prefix,
// by name.
func selected[K ~string, V, M any](elements map[K]V, prefix string, convert func(V) M) []M {
	var messages []M
	for _, name := range slices.Sorted(maps.Keys(elements)) {
		if strings.HasPrefix(string(name), prefix) {
			messages = append(messages, convert(elements[name]))
		}
	}
	return messages
}

// filtered returns the messages of the elements whose names have the prefix.
func filtered[V, M any](elements []V, prefix string, name func(V) string, convert func(V) M) []M {
	var messages []M
	for _, element := range elements {
		if strings.HasPrefix(name(element), prefix) {
			messages = append(messages, convert(element))
		}
	}
	return messages
}

// ListAdapters lists adapters.
func (e *endpoint) ListAdapters(ctx context.Context, message *operator.ListRequest) (*operator.ListAdaptersReply, error) {
	return read(ctx, e,
		func(f *operator.Failure) *operator.ListAdaptersReply { return &operator.ListAdaptersReply{Failure: f} },
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListAdaptersReply {
			list := selected(e.server.Status.Configuration().Adapters, message.GetPrefix(), operator.FromAdapter)
			return &operator.ListAdaptersReply{Freshness: f, Adapters: list}
		})
}

// ListApplications lists applications.
func (e *endpoint) ListApplications(ctx context.Context, message *operator.ListRequest) (*operator.ListApplicationsReply, error) {
	return read(ctx, e,
		func(f *operator.Failure) *operator.ListApplicationsReply {
			return &operator.ListApplicationsReply{Failure: f}
		},
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListApplicationsReply {
			list := selected(e.server.Status.Configuration().Applications, message.GetPrefix(), operator.FromApplication)
			return &operator.ListApplicationsReply{Freshness: f, Applications: list}
		})
}

// ListKinds lists kinds.
func (e *endpoint) ListKinds(ctx context.Context, message *operator.ListRequest) (*operator.ListKindsReply, error) {
	return read(ctx, e,
		func(f *operator.Failure) *operator.ListKindsReply { return &operator.ListKindsReply{Failure: f} },
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListKindsReply {
			list := selected(e.server.Status.Configuration().Kinds, message.GetPrefix(), operator.FromKind)
			return &operator.ListKindsReply{Freshness: f, Kinds: list}
		})
}

// ListServers lists backend servers.
func (e *endpoint) ListServers(ctx context.Context, message *operator.ListRequest) (*operator.ListServersReply, error) {
	return read(ctx, e,
		func(f *operator.Failure) *operator.ListServersReply { return &operator.ListServersReply{Failure: f} },
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListServersReply {
			list := filtered(e.server.Status.ListServers(), message.GetPrefix(),
				func(s operation.Server) string { return s.Name }, operator.FromServer)
			return &operator.ListServersReply{Freshness: f, Servers: list}
		})
}

// ListHosts lists entry hosts.
func (e *endpoint) ListHosts(ctx context.Context, message *operator.ListRequest) (*operator.ListHostsReply, error) {
	return read(ctx, e,
		func(f *operator.Failure) *operator.ListHostsReply { return &operator.ListHostsReply{Failure: f} },
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListHostsReply {
			list := filtered(e.server.Status.ListHosts(), message.GetPrefix(),
				func(h operation.Host) string { return string(h.Name) }, operator.FromHost)
			return &operator.ListHostsReply{Freshness: f, Hosts: list}
		})
}

// ListEngines lists engines.
func (e *endpoint) ListEngines(ctx context.Context, message *operator.ListRequest) (*operator.ListEnginesReply, error) {
	return read(ctx, e,
		func(f *operator.Failure) *operator.ListEnginesReply { return &operator.ListEnginesReply{Failure: f} },
		func(f *operator.Freshness, _ operation.Freshness) *operator.ListEnginesReply {
			list := filtered(e.server.Status.ListEngines(), message.GetPrefix(),
				func(n operation.Engine) string { return string(n.Name) }, operator.FromEngine)
			return &operator.ListEnginesReply{Freshness: f, Engines: list}
		})
}

// ShowRevision tells where a revision is in force.
func (e *endpoint) ShowRevision(ctx context.Context, message *operator.ShowRevisionRequest) (*operator.ShowRevisionReply, error) {
	return read(ctx, e,
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

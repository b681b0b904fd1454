package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/operator"
)

// A fakeHost is an Editor whose Apply calls a function, and a StatusReporter that
// returns fixed values.
type fakeHost struct {
	apply     func(context.Context, operation.EditRequest) (operation.EditResult, error)
	freshness operation.Freshness
}

func (f *fakeHost) Apply(ctx context.Context, r operation.EditRequest) (operation.EditResult, error) {
	return f.apply(ctx, r)
}
func (f *fakeHost) Freshness(context.Context) operation.Freshness { return f.freshness }
func (f *fakeHost) Configuration() *configuration.Configuration {
	return &configuration.Configuration{Adapters: map[fleet.AdapterName]configuration.Adapter{
		"b": {Name: "b", Versions: []fleet.AdapterVersion{1, 3}, Current: 3}, "a": {Name: "a", Versions: []fleet.AdapterVersion{1}, Current: 1},
	}}
}
func (f *fakeHost) ListHosts() []operation.Host     { return []operation.Host{{Name: "h", Revision: 7}} }
func (f *fakeHost) ListEngines() []operation.Engine { return []operation.Engine{{Name: "e", Epoch: 3}} }
func (f *fakeHost) ListServers() []operation.Server {
	return []operation.Server{{Name: "s", Draining: true}}
}
func (f *fakeHost) ShowRevision(n configuration.Revision) operation.RevisionStatus {
	return operation.RevisionStatus{Revision: n, Unreachable: []fleet.HostName{"quiet"}}
}

// start serves a fakeHost and returns a client that has the right token. wrap, if not
// nil, replaces the listener.
func start(t *testing.T, f *fakeHost, token string, wrap func(net.Listener) net.Listener) (*operator.Server, *operator.Client) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	if wrap != nil {
		listener = wrap(listener)
	}
	server := &operator.Server{Listener: listener, Editor: f, Status: f}
	if token != "" {
		hash := sha256.Sum256([]byte(token))
		server.TokenHash = hex.EncodeToString(hash[:])
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Run(context.Background()) }()
	t.Cleanup(func() {
		qt.Check(t, server.Close(), qt.IsNil)
		qt.Check(t, <-ended, qt.IsNil)
	})
	return server, &operator.Client{Address: address, Token: token}
}

// A remoteListener reports the connections that it accepts as coming from another host.
type remoteListener struct{ net.Listener }

func (l remoteListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return remoteConnection{connection}, err
}

// A remoteConnection has a remote address that is not loopback.
type remoteConnection struct{ net.Conn }

func (remoteConnection) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 9), Port: 5000}
}

// TestServerAuthorizesCalls guards against calls that are served without the right to
// make them, and against calls of an operator that are refused.
func TestServerAuthorizesCalls(t *testing.T) {
	remote := func(l net.Listener) net.Listener { return remoteListener{l} }
	for _, test := range []struct {
		name, token, given string
		wrap               func(net.Listener) net.Listener
		allowed            bool
	}{
		{"right token", "secret", "secret", nil, true},
		{"right token from another host", "secret", "secret", remote, true},
		{"wrong token on loopback", "secret", "other", nil, false},
		{"no token on loopback", "secret", "", nil, false},
		{"host without token on loopback", "", "", nil, true},
		{"host without token from another host", "", "", remote, false},
		{"host without token ignores a token", "", "secret", remote, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			applied := false
			f := &fakeHost{apply: func(context.Context, operation.EditRequest) (operation.EditResult, error) {
				applied = true
				return operation.EditResult{Revision: 2}, nil
			}}
			_, client := start(t, f, test.token, test.wrap)
			client.Token = test.given
			_, _, readError := client.ListAdapters(context.Background(), "")
			_, changeError := client.Change(context.Background(), operation.EditRequest{OperationID: "o", Edit: operation.RetireKind{Name: "k"}})
			qt.Check(t, applied, qt.Equals, test.allowed)
			for _, err := range []error{readError, changeError} {
				if test.allowed {
					qt.Check(t, err, qt.IsNil)
					continue
				}
				var failure *verdict.Error
				qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
				qt.Check(t, failure.Code, qt.Equals, verdict.CodeUnauthorized)
				qt.Check(t, failure.Verdict, qt.Equals, verdict.NotRun)
			}
		})
	}
}

// TestEditsKeepEveryField guards against edits that lose a field in the conversion to
// or from messages.
func TestEditsKeepEveryField(t *testing.T) {
	var got operation.EditRequest
	f := &fakeHost{apply: func(_ context.Context, r operation.EditRequest) (operation.EditResult, error) {
		got = r
		return operation.EditResult{Revision: 8, Repeated: true}, nil
	}}
	_, client := start(t, f, "", nil)
	zero, share := 0, 0.0
	for _, edit := range []operation.Edit{
		operation.CreateAdapter{Adapter: configuration.Adapter{Name: "a", Versions: []fleet.AdapterVersion{1, 4}, Current: 4}},
		operation.RetireAdapter{Name: "a"},
		operation.AddVersion{Adapter: "a", Version: 5, Current: true},
		operation.RetireVersion{Adapter: "a", Version: 5},
		operation.SetCurrent{Adapter: "a", Version: 4},
		operation.SetApplication{Name: "p", TokenHash: "h", Kinds: []configuration.KindName{"k", "l"}, Concurrency: &zero},
		operation.SetApplication{Name: "p"},
		operation.RetireApplication{Name: "p"},
		operation.SetKind{Name: "k", Urgency: "prompt", Repeat: "allowed", Deadline: time.Second, Objective: &share},
		operation.SetKind{Name: "k"},
		operation.RetireKind{Name: "k"},
		operation.SetDraining{Server: "s", Draining: true},
		operation.SetDraining{Server: "s"},
	} {
		t.Run(edit.Describe(), func(t *testing.T) {
			sent := operation.EditRequest{ExpectedRevision: 7, OperationID: "o", Edit: edit}
			result, err := client.Change(context.Background(), sent)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, result, qt.Equals, operation.EditResult{Revision: 8, Repeated: true})
			qt.Check(t, got, qt.DeepEquals, sent)
		})
	}
}

// TestFailuresKeepEveryField guards against failures that lose their verdict, code,
// path or revisions in the conversion to or from messages.
func TestFailuresKeepEveryField(t *testing.T) {
	for _, test := range []struct {
		name string
		sent error
		want verdict.Error
	}{
		{"conflict", &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeConflict, Message: "m", Cause: &revision.ConflictError{Expected: 3, Actual: 9}},
			verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeConflict, Message: "m", Cause: &revision.ConflictError{Expected: 3, Actual: 9}}},
		{"path", &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeMalformed, Message: "m", Cause: &configuration.FieldError{Path: "kinds.a", Problem: "p"}},
			verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeMalformed, Message: "m", Cause: &configuration.FieldError{Path: "kinds.a", Problem: "p"}}},
		{"may have run", verdict.NewMayHaveRun(verdict.CodeTableUnavailable, nil, "m"),
			verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeTableUnavailable, Message: "m"}},
		{"retry later", &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, Message: "m", RetryAfter: time.Second},
			verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, Message: "m", RetryAfter: time.Second}},
		{"error without verdict", errors.New("broken"),
			verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeInternal, Message: "request failed: broken"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeHost{apply: func(context.Context, operation.EditRequest) (operation.EditResult, error) {
				return operation.EditResult{}, test.sent
			}}
			_, client := start(t, f, "", nil)
			_, err := client.Change(context.Background(), operation.EditRequest{OperationID: "o", Edit: operation.RetireKind{Name: "k"}})
			var failure *verdict.Error
			qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
			qt.Check(t, *failure, qt.DeepEquals, test.want)
		})
	}
}

// TestReadsCarryFreshness guards against replies to reads that do not say how current
// they are, against lists that are not sorted by name or ignore the prefix, and against
// a revision beyond the head being shown.
func TestReadsCarryFreshness(t *testing.T) {
	age := 3 * time.Second
	f := &fakeHost{freshness: operation.Freshness{Host: "h", Revision: 7, Head: 8, PlatformUnreachable: true, Age: &age}}
	_, client := start(t, f, "", nil)
	ctx := context.Background()
	adapters, freshness, err := client.ListAdapters(ctx, "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, freshness, qt.DeepEquals, f.freshness)
	qt.Assert(t, adapters, qt.HasLen, 2)
	qt.Check(t, adapters[1], qt.DeepEquals, f.Configuration().Adapters["b"])
	adapters, _, err = client.ListAdapters(ctx, "c")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, adapters, qt.HasLen, 0)
	shown, _, err := client.ShowRevision(ctx, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, shown.Revision, qt.Equals, configuration.Revision(8))
	qt.Check(t, shown.Unreachable, qt.DeepEquals, []fleet.HostName{"quiet"})
	_, _, err = client.ShowRevision(ctx, 9)
	qt.Check(t, err, qt.ErrorMatches, "revision 9 is not accepted; the head is 8")
}

// TestClientVerdictsWithoutReply guards against verdict NotRun for a change whose
// reply was lost after it was sent, and against verdict MayHaveRun if no connection
// could be opened.
func TestClientVerdictsWithoutReply(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	go func() {
		for {
			connection, err := silent.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(connection, make([]byte, 1))
			_ = connection.Close()
		}
	}()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	_ = closed.Close()
	for _, test := range []struct {
		name, address string
		want          verdict.Verdict
	}{
		{"connection refused", closed.Addr().String(), verdict.NotRun},
		{"reply lost", silent.Addr().String(), verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := &operator.Client{Address: test.address}
			_, err := client.Change(context.Background(), operation.EditRequest{OperationID: "o", Edit: operation.RetireKind{Name: "k"}})
			failure := verdict.FromError(err)
			qt.Check(t, failure.Verdict, qt.Equals, test.want)
			qt.Check(t, failure.Code, qt.Equals, verdict.CodeHostUnreachable)
		})
	}
}

// TestCloseWaitsForChange guards against a Close that cuts off a change in flight, or
// that accepts new calls while it waits.
func TestCloseWaitsForChange(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	f := &fakeHost{apply: func(context.Context, operation.EditRequest) (operation.EditResult, error) {
		close(began)
		<-finish
		return operation.EditResult{Revision: 2}, nil
	}}
	server, client := start(t, f, "", nil)
	answered := make(chan error, 1)
	go func() {
		_, err := client.Change(context.Background(), operation.EditRequest{OperationID: "o", Edit: operation.RetireKind{Name: "k"}})
		answered <- err
	}()
	<-began
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	for {
		_, _, err := client.ListKinds(context.Background(), "")
		if err != nil {
			qt.Assert(t, verdict.FromError(err).Code, qt.Equals, verdict.CodeStopping)
			break
		}
	}
	select {
	case <-closed:
		t.Fatal("closed with a change in flight")
	default:
	}
	close(finish)
	qt.Check(t, <-answered, qt.IsNil)
	qt.Check(t, <-closed, qt.IsNil)
}

package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/standin/answer"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// unknownInstance is the body of the refusal that proves that a completion did not run.
const unknownInstance = `{"error":{"code":"unknown-instance","message":"not loaded"}}`

// newRawFixture returns a fixture whose engine answers with raw bytes.
func newRawFixture(c *quicktest.C, write func(conn net.Conn, r *http.Request, onReused bool) bool) *fixture {
	return newRawFixtureWith(c, &answer.RawServer{Answer: write})
}

// newRawFixtureWith returns a fixture with the engine, which it starts.
func newRawFixtureWith(c *quicktest.C, server *answer.RawServer) *fixture {
	c.Assert(server.Start(), quicktest.IsNil)
	f := &fixture{C: c, client: &Client{}, instance: fleet.Instance{Adapter: adapter, Epoch: 7}}
	f.engine = fleet.Engine{Address: server.Address()}
	c.Cleanup(func() {
		c.Check(f.client.Close(), quicktest.IsNil)
		server.Close()
	})
	return f
}

// rawRefusal returns a refusal of the request with an id.
func rawRefusal(id, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 404 Not Found\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", engineapi.HeaderRequestID, id, headers, len(body), body)
}

// completeRaw runs a completion on the fixture's engine.
func (f *fixture) completeRaw(id string) error {
	grant := fleet.Grant{Address: f.engine.Address, Instance: f.instance, EngineStart: 1}
	_, err := f.client.Complete(context.Background(), grant, f.request(id, false), 0, &chunkRecorder{})
	return err
}

// TestUnsoundRefusalIsNoProof guards against a second run of a completion whose engine refuses it in
// an answer that contradicts the refusal.
func TestUnsoundRefusalIsNoProof(t *testing.T) {
	sound := rawRefusal("a", "", unknownInstance)
	for _, test := range []struct {
		name, answer string
		want         verdict.Verdict
	}{
		{"sound", sound, verdict.NotRun},
		{"event stream", rawRefusal("a", "Content-Type: text/event-stream\r\n", unknownInstance), verdict.MayHaveRun},
		{"encoded", rawRefusal("a", "Content-Encoding: identity\r\n", unknownInstance), verdict.MayHaveRun},
		{"with a completion", rawRefusal("a", "", `{"model":"kurs@3#7","choices":[{"index":0}],"error":{"code":"unknown-instance"}}`), verdict.MayHaveRun},
		{"with a malformed completion", rawRefusal("a", "", `{"choices":"x","error":{"code":"unknown-instance"}}`), verdict.MayHaveRun},
		{"followed by another answer", sound + sound, verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newRawFixture(quicktest.New(t), func(conn net.Conn, r *http.Request, _ bool) bool {
				if r.URL.Path == engineapi.PathCompletions {
					fmt.Fprint(conn, test.answer)
				}
				return r.URL.Path == engineapi.PathCompletions
			})
			err := f.completeRaw("a")
			f.Assert(err, quicktest.IsNotNil)
			f.Check(verdict.FromError(err).Verdict, quicktest.Equals, test.want, quicktest.Commentf("%v", err))
		})
	}
}

// TestRepeatedRefusalIsNoProof guards against a second run of a completion whose engine writes an
// earlier refusal of the same id once more, while it runs the completion that was sent again.
func TestRepeatedRefusalIsNoProof(t *testing.T) {
	refused := make(map[net.Conn]bool)
	f := newRawFixture(quicktest.New(t), func(conn net.Conn, r *http.Request, _ bool) bool {
		if len(refused) == 0 || refused[conn] {
			refused[conn] = true
			fmt.Fprint(conn, rawRefusal("a", "", unknownInstance))
			return true
		}
		body := `{"model":"kurs@3#7","choices":[{"index":0,"message":{"content":"x"},"finish_reason":"stop"}]}`
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: a\r\nContent-Length: %d\r\n\r\n%s", engineapi.HeaderRequestID, len(body), body)
		return true
	})
	f.assertVerdict(f.completeRaw("a"), verdict.NotRun, verdict.CodeUnknownInstance)
	f.Check(f.completeRaw("a"), quicktest.IsNil)
}

// TestAnswerOfEarlierOrderIsNotBelieved guards against a run that counts as canceled, so that it
// goes on at another engine, because its engine writes the answer to an earlier order once more.
func TestAnswerOfEarlierOrderIsNotBelieved(t *testing.T) {
	f := newRawFixture(quicktest.New(t), func(conn net.Conn, r *http.Request, onReused bool) bool {
		if onReused || r.URL.Path == engineapi.PathLoad {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			return true
		}
		return false
	})
	f.Assert(f.client.Load(context.Background(), f.engine, f.instance, 7), quicktest.IsNil)
	f.assertVerdict(f.client.Cancel(context.Background(), f.engine, "a"), verdict.MayHaveRun, verdict.CodeBackendLost)
}

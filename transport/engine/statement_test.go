package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// startEngineWith returns a fixture whose engine answers everything with status 200, the content
// type and the body.
func startEngineWith(c *quicktest.C, contentType, body string) *fixture {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, body)
	}))
	f := &fixture{C: c, client: &Client{}, instance: fleet.Instance{Adapter: adapter, Epoch: 7}}
	f.engine = fleet.Engine{Address: server.Listener.Addr().String()}
	c.Cleanup(func() {
		c.Check(f.client.Close(), quicktest.IsNil)
		server.Close()
	})
	return f
}

// TestWholeCompletionIsJSON guards against a completion that its caller takes for a stream or a
// page, because its engine calls the JSON body so.
func TestWholeCompletionIsJSON(t *testing.T) {
	for _, contentType := range []string{"text/event-stream", "text/html", ""} {
		f := startEngineWith(quicktest.New(t), contentType, `{"model":"kurs@3#7","choices":[{"index":0,"message":{"content":"x"},"finish_reason":"stop"}]}`)
		grant := fleet.Grant{Address: f.engine.Address, Instance: f.instance, EngineStart: 1}
		response, err := f.client.Complete(context.Background(), grant, f.request("a", false), 0, &chunkRecorder{})
		f.Assert(err, quicktest.IsNil)
		f.Check(response.ContentType, quicktest.Equals, "application/json")
	}
}

// TestResponseThatNamesTwoRequestsIsNotBelieved guards against the completion of another request:
// the response names that one on a second line, and its body does not tell whose it is.
func TestResponseThatNamesTwoRequestsIsNotBelieved(t *testing.T) {
	for _, other := range []string{"other", ""} {
		c := quicktest.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header()[engineapi.HeaderRequestID] = []string{r.Header.Get(engineapi.HeaderRequestID), other}
			_, _ = io.WriteString(w, `{"model":"kurs@3#7","choices":[{"index":0,"message":{"content":"x"},"finish_reason":"stop"}]}`)
		}))
		defer server.Close()
		f := &fixture{C: c, client: &Client{}}
		defer f.client.Close()
		grant := fleet.Grant{Address: server.Listener.Addr().String(), Instance: fleet.Instance{Adapter: adapter, Epoch: 7}, EngineStart: 1}
		_, err := f.client.Complete(context.Background(), grant, f.request("a", false), 0, &chunkRecorder{})
		f.assertVerdict(err, verdict.MayHaveRun, verdict.CodeWrongInstance)
	}
}

package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// startRefusingEngine returns a fixture whose engine answers everything with the status and code.
func startRefusingEngine(c *quicktest.C, status int, code string) *fixture {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"error":{"code":%q,"message":"refused"}}`, code)
	}))
	f := &fixture{C: c, client: &Client{}, instance: fleet.Instance{Adapter: adapter, Epoch: 7}}
	f.engine = fleet.Engine{Address: server.Listener.Addr().String()}
	c.Cleanup(func() {
		c.Check(f.client.Close(), quicktest.IsNil)
		server.Close()
	})
	return f
}

// TestRefusalOfOrderIsNoProofForCompletion guards against a second run of a completion whose engine
// answers it as it would refuse an order: only an unknown instance proves that it did not run.
func TestRefusalOfOrderIsNoProofForCompletion(t *testing.T) {
	for _, refusal := range []struct {
		status int
		code   string
	}{
		{http.StatusConflict, engineapi.CodeNoFreeSlot},
		{http.StatusInternalServerError, engineapi.CodeLoadFailed},
		{http.StatusConflict, engineapi.CodeStaleFencingNumber},
		{http.StatusInternalServerError, engineapi.CodeUnknownInstance},
		{http.StatusAccepted, engineapi.CodeLoadFailed},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d %s %t", refusal.status, refusal.code, stream), func(t *testing.T) {
				f := startRefusingEngine(quicktest.New(t), refusal.status, refusal.code)
				grant := fleet.Grant{Address: f.engine.Address, Instance: f.instance, EngineStart: 1}
				_, err := f.client.Complete(context.Background(), grant, f.request("a", stream), 0, &chunkRecorder{})
				f.assertVerdict(err, verdict.MayHaveRun, verdict.CodeBackendRefused)
			})
		}
	}
}

// TestRefusalWithSuccessStatusIsNoProof guards against an adapter that counts as not loaded, though
// its engine answers the load order with a status of success.
func TestRefusalWithSuccessStatusIsNoProof(t *testing.T) {
	for _, code := range []string{engineapi.CodeNoFreeSlot, engineapi.CodeLoadFailed, engineapi.CodeStaleFencingNumber} {
		f := startRefusingEngine(quicktest.New(t), http.StatusAccepted, code)
		f.assertVerdict(f.client.Load(context.Background(), f.engine, f.instance, 7), verdict.MayHaveRun, verdict.CodeBackendRefused)
	}
}

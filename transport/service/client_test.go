package service

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	standin "github.com/persimmonmux/persimmonmux/standin/service"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

var _ dispatch.ServiceClient = (*Client)(nil)

// fixture is a client and a service with two simulated servers: near is in the failure
// domain of the client, far is in another one.
type fixture struct {
	*quicktest.C
	client        *Client
	configuration *configuration.Configuration
	near, far     *standin.Service
	nearServer    *httptest.Server
}

// newFixture starts both servers; the end of the test closes them and the client.
func newFixture(t *testing.T) *fixture {
	c := quicktest.New(t)
	f := &fixture{C: c, near: standin.New("near", 1), far: standin.New("far", 2)}
	f.nearServer = httptest.NewServer(f.near)
	farServer := httptest.NewServer(f.far)
	f.configuration = &configuration.Configuration{
		Services: map[configuration.ServiceName]configuration.Service{
			"belegung": {Name: "belegung", NotRunStatuses: []int{http.StatusConflict}, Servers: []configuration.Server{
				{Name: "belegung-2", FailureDomain: "fra-a", Address: farServer.Listener.Addr().String()},
				{Name: "belegung-1", FailureDomain: "muc-a", Address: f.nearServer.Listener.Addr().String()},
			}},
		},
		Draining: map[string]bool{},
	}
	f.client = &Client{
		Configuration: func() *configuration.Configuration { return f.configuration },
		FailureDomain: "muc-a",
	}
	t.Cleanup(func() {
		c.Check(f.client.Close(), quicktest.IsNil)
		f.nearServer.Close()
		farServer.Close()
	})
	return f
}

func (f *fixture) call(id string) (request.Response, error) {
	return f.callWith(id, `{"course":1}`)
}

// callWith does the same with another body.
func (f *fixture) callWith(id, body string) (request.Response, error) {
	return f.client.Call(context.Background(), &request.Request{
		ID: fleet.RequestID(id), Service: "belegung", Method: http.MethodPost, Path: "/seats", Body: []byte(body),
	})
}

// assertServer checks that the named server gave a complete response to the request.
func (f *fixture) assertServer(id, server string) {
	f.Helper()
	response, err := f.call(id)
	f.Assert(err, quicktest.IsNil)
	var body standin.Response
	f.Assert(json.Unmarshal(response.Body, &body), quicktest.IsNil)
	f.Assert(body, quicktest.Equals, standin.Response{Server: server, Request: id, Method: "POST", Path: "/seats", Body: `{"course":1}`})
}

// TestServerOrder guards against calls to another failure domain while a server of the
// own one is available, and against calls to a server that is draining, leaving or
// stopped.
func TestServerOrder(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"a", "b", "c"} {
		f.assertServer(id, "near")
	}
	f.configuration.Draining["belegung-1"] = true
	f.assertServer("d", "far")
	f.configuration.Draining["belegung-2"] = true
	_, err := f.call("e")
	f.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
	f.configuration.Draining = map[string]bool{}
	f.client.Leaving = func(server string) bool { return server == "belegung-1" }
	f.assertServer("leaving", "far")
	f.client.Leaving = nil
	f.nearServer.Close()
	// The refused connection attempt is tested here. Without this line, the client could
	// write the request to a connection that it still keeps to the stopped server.
	f.client.httpClient.CloseIdleConnections()
	f.assertServer("f", "far")
}

// TestVerdicts guards against a wrong verdict or code for each way in which a plain
// service can fail: a request that may have run must not be reported as not run or sent
// to another server.
func TestVerdicts(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults standin.Faults
		want   verdict.Verdict
		code   verdict.Code
		runs   int
	}{
		{"connection closed before the run", standin.Faults{DieBeforeRun: 1}, verdict.MayHaveRun, verdict.CodeBackendLost, 0},
		{"connection closed after the run", standin.Faults{DieAfterRun: 1}, verdict.MayHaveRun, verdict.CodeBackendLost, 1},
		{"hangs after the run", standin.Faults{HangAfterRun: 1}, verdict.MayHaveRun, verdict.CodeBackendLost, 1},
		{"truncated response", standin.Faults{Truncate: 1}, verdict.MayHaveRun, verdict.CodeBackendLost, 1},
		{"overload without proof", standin.Faults{Refuse: 1, RefusalStatus: 503}, verdict.MayHaveRun, verdict.CodeBackendRefused, 0},
		{"refusal that proves not run", standin.Faults{Refuse: 1, RefusalStatus: 409}, verdict.NotRun, verdict.CodeBackendRefused, 0},
		{"redirect that asks to resend", standin.Faults{Refuse: 1, RefusalStatus: 307}, verdict.MayHaveRun, verdict.CodeBackendRefused, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.assertServer("reused", "near")
			if test.faults.HangAfterRun > 0 {
				f.client.ResponseTimeout = 100 * time.Millisecond
			}
			f.near.SetFaults(test.faults)
			_, err := f.call("a")
			var failure *verdict.Error
			f.Assert(errors.As(err, &failure), quicktest.IsTrue)
			f.Assert(failure.Verdict, quicktest.Equals, test.want, quicktest.Commentf("%v", err))
			f.Assert(failure.Code, quicktest.Equals, test.code, quicktest.Commentf("%v", err))
			f.Assert(f.near.Runs("a"), quicktest.Equals, test.runs)
			f.Assert(f.far.Runs("a"), quicktest.Equals, 0)
		})
	}
}

// TestDialRefused guards against verdict MayHaveRun for a request whose connection was
// refused.
func TestDialRefused(t *testing.T) {
	f := newFixture(t)
	f.configuration.Draining["belegung-2"] = true
	f.nearServer.Close()
	_, err := f.call("a")
	f.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
}

// TestClose guards against goroutines and connections that outlive Close, and against
// calls after Close.
func TestClose(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("calls", func(t *testing.T) {
		f := newFixture(t)
		f.assertServer("a", "near")
		f.Assert(f.client.Close(), quicktest.IsNil)
		_, err := f.call("b")
		f.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeStopping)
	})
	for end := time.Now().Add(2 * time.Second); runtime.NumGoroutine() > before && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	quicktest.New(t).Assert(runtime.NumGoroutine() <= before, quicktest.IsTrue)
}

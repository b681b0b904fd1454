package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// TestResponseThatNamesTwoRequestsIsNotBelieved guards against a caller that gets the response to
// another request, which the response names on a second line.
func TestResponseThatNamesTwoRequestsIsNotBelieved(t *testing.T) {
	for _, ids := range [][]string{{"a", "other"}, {"", "other"}} {
		f := newFixture(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header()[headerRequestID] = ids
			_, _ = io.WriteString(w, "{}")
		}))
		t.Cleanup(server.Close)
		f.configuration.Services["belegung"] = configuration.Service{
			Name: "belegung", Servers: []configuration.Server{{Name: "confused", FailureDomain: "muc-a", Address: server.Listener.Addr().String()}},
		}
		_, err := f.call("a")
		f.Assert(err, quicktest.IsNotNil)
		f.Check(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
		f.Check(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeWrongInstance)
	}
}

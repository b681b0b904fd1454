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

// TestPartialBodyIsNoAnswer guards against a part of a body that counts as the whole one: requests
// to services ask for no range.
func TestPartialBodyIsNoAnswer(t *testing.T) {
	f := newFixture(t)
	partial := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Range", "bytes 0-4/10")
		w.WriteHeader(http.StatusPartialContent)
		_, _ = io.WriteString(w, "hello")
	}))
	t.Cleanup(partial.Close)
	f.configuration.Services["belegung"] = configuration.Service{
		Name: "belegung", Servers: []configuration.Server{{Name: "partial", FailureDomain: "muc-a", Address: partial.Listener.Addr().String()}},
	}
	_, err := f.call("a")
	f.Assert(err, quicktest.IsNotNil)
	f.Check(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
	f.Check(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeBackendRefused)
}

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

// TestEncodedBodyIsNoAnswer guards against a success whose body its caller cannot read: the server
// has encoded it although no encoding was asked for, and callers do not get the header that says so.
func TestEncodedBodyIsNoAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound} {
		f := newFixture(t)
		encoding := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "\x1f\x8b\x08")
		}))
		t.Cleanup(encoding.Close)
		f.configuration.Services["belegung"] = configuration.Service{
			Name: "belegung", Servers: []configuration.Server{{Name: "encoding", FailureDomain: "muc-a", Address: encoding.Listener.Addr().String()}},
		}
		_, err := f.call("a")
		f.Assert(err, quicktest.IsNotNil)
		f.Check(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
		f.Check(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeBackendRefused)
	}
}

package metrics_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/metrics"
)

var _ dispatch.Recorder = (*metrics.Recorder)(nil)

// Guards against request outcomes that are missing from the exported metrics or are
// counted with another verdict or code.
func TestOutcomesAreExported(t *testing.T) {
	c := qt.New(t)
	r := &metrics.Recorder{InFlight: func() int { return 3 }}
	c.Assert(r.Start(), qt.IsNil)
	defer r.Close()
	ended := &request.Request{Application: "chat", Kind: configuration.Kind{Name: "quote"}, Arrived: time.Now()}
	for range 2 {
		r.RecordRequest(ended, request.Response{LoadStall: 300 * time.Millisecond}, nil)
	}
	r.RecordRequest(ended, request.Response{}, verdict.NewNotRun(verdict.CodeOverloaded, "full"))
	r.RecordRepeatedSends("chat", 2)
	r.RecordRepeatedSends("chat", -1)
	r.RecordRefusal("chat", "signed")
	recorder := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	text := recorder.Body.String()
	for _, want := range []string{
		`persimmonmux_requests_total{application="chat",code="",kind="quote",`,
		`verdict="ran"} 2`,
		`persimmonmux_requests_total{application="chat",code="overloaded",kind="quote",`,
		`verdict="not-run"} 1`,
		`persimmonmux_requests_in_flight`,
		`persimmonmux_repeated_sends_total{application="chat",`,
		`persimmonmux_refusals_total{application="chat",doubt="signed",`,
		`persimmonmux_load_stall_seconds_bucket{application="chat",kind="quote",`,
		`persimmonmux_request_duration_seconds_count{application="chat",kind="quote",`,
	} {
		c.Check(strings.Contains(text, want), qt.IsTrue, qt.Commentf("%s", want))
	}
}

// Guards against more than 8 memory allocations in RecordRequest, which runs for each
// request.
func TestRecordRequestAllocations(t *testing.T) {
	r := &metrics.Recorder{}
	qt.Assert(t, r.Start(), qt.IsNil)
	defer r.Close()
	ended := &request.Request{Application: "chat", Kind: configuration.Kind{Name: "quote"}, Arrived: time.Now()}
	allocations := testing.AllocsPerRun(1000, func() { r.RecordRequest(ended, request.Response{}, nil) })
	qt.Assert(t, allocations <= 8, qt.IsTrue, qt.Commentf("%v allocations", allocations))
}

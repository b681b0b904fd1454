package loadgen_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/internal/loadgen"
)

// planFor returns a plan that sends 200 requests to a server with the handler, on
// average, in 400 ms.
func planFor(handler http.HandlerFunc, t *testing.T) loadgen.Plan {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return loadgen.Plan{
		Address: strings.TrimPrefix(server.URL, "http://"), Rate: 500, Duration: 400 * time.Millisecond,
		Adapters: 20, AdapterFormat: "a-%d", Exponent: 0.9, Seed: 7, Timeout: 5 * time.Second, Kinds: []string{"quote", "stock"},
	}
}

// Guards against coordinated omission: while a server stalls, a generator that waits for
// answers starts no requests and so measures no delay for them. Latency must count from
// the intended start of each request that was due during the stall.
func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	var lock sync.Mutex
	first := true
	plan := planFor(func(w http.ResponseWriter, _ *http.Request) {
		lock.Lock()
		defer lock.Unlock()
		if first {
			first = false
			time.Sleep(300 * time.Millisecond)
		}
		fmt.Fprint(w, `{"choices":[]}`)
	}, t)
	line := loadgen.Run(t.Context(), plan).KindSummaries()[0]
	qt.Assert(t, line.Count > 100, qt.IsTrue, qt.Commentf("%d", line.Count))
	qt.Assert(t, line.Latency.P50 > 50, qt.IsTrue, qt.Commentf("p50 %v ms", line.Latency.P50))
}

// Guards against outcomes that are counted with a wrong verdict, such as a stream that
// ends early and is taken for a whole answer, and against outcomes missing from the table.
func TestOutcomesAreCountedByVerdict(t *testing.T) {
	for _, test := range []struct {
		name, answer, want string
		status             int
		stream             bool
	}{
		{"whole answer", `{"choices":[]}`, "ran", 200, false},
		{"refusal", `{"error":{"verdict":"not-run","code":"overloaded"}}`, "not-run overloaded", 503, false},
		{"whole stream", "data: {}\n\ndata: [DONE]\n\n", "ran", 200, true},
		{"stream without closing mark", "data: {}\n\n", "may-have-run incomplete", 200, true},
		{"stream with an error event", "data: {}\n\n" + `data: {"error":{"verdict":"may-have-run","code":"backend-lost"}}` + "\n\n", "may-have-run backend-lost", 200, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			plan := planFor(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				qt.Check(t, err, qt.IsNil)
				id, err := uuid.Parse(r.Header.Get("Persimmonmux-Request-Id"))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, id.Version(), qt.Equals, uuid.Version(7))
				w.WriteHeader(test.status)
				fmt.Fprint(w, test.answer)
			}, t)
			plan.Stream, plan.Duration = test.stream, 100*time.Millisecond
			report := loadgen.Run(t.Context(), plan)
			lines := report.KindSummaries()
			c.Assert(lines, qt.HasLen, 3)
			c.Assert(lines[0].Counts, qt.DeepEquals, map[string]int64{test.want: int64(report.Sent)})
			c.Assert(lines[1].Count+lines[2].Count, qt.Equals, lines[0].Count)
			var table strings.Builder
			c.Assert(report.WriteTable(&table), qt.IsNil)
			c.Assert(table.String(), qt.Contains, test.want)
		})
	}
}

// Guards against runs that differ although they have the same seed, and against an
// exponent without effect: the first adapter must be the most popular one.
func TestSeedFixesAdaptersAndPopularity(t *testing.T) {
	sample := func() map[string]int {
		counts := map[string]int{}
		var lock sync.Mutex
		plan := planFor(func(_ http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			lock.Lock()
			defer lock.Unlock()
			counts[string(data)]++
		}, t)
		loadgen.Run(t.Context(), plan)
		return counts
	}
	first, second := sample(), sample()
	qt.Assert(t, first, qt.DeepEquals, second)
	most := 0
	for _, count := range first {
		most = max(most, count)
	}
	name := `{"model":"a-0","messages":[{"role":"user","content":"Answer in one word."}]}`
	qt.Assert(t, first[name], qt.Equals, most)
}

package site

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fixture is a running engine and the records that it made.
type fixture struct {
	server  *httptest.Server
	records []Record
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{}
	f.server = httptest.NewServer(&Server{
		Settings: Settings{ID: "e", Service: "s", Slots: 2, Model: "m", AdapterSlots: 1, Events: 3},
		Record:   func(r Record) { f.records = append(f.records, r) },
	})
	t.Cleanup(f.server.Close)
	return f
}

// call posts a request with pairs of header names and values, and returns the status and
// the body of the answer.
func (f *fixture) call(t *testing.T, path, body string, headers ...string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	answer, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	qt.Assert(t, err, qt.IsNil)
	return answer.StatusCode, string(content)
}

// TestEngineKeepsToTheProtocol guards against a stand-in that runs requests or orders
// which a server of the platform refuses, and against protocol violations that it does
// not record. Tests against such a stand-in would pass for a faulty router.
func TestEngineKeepsToTheProtocol(t *testing.T) {
	f := newFixture(t)
	load := func(adapter, holder, epoch, expect string) int {
		status, _ := f.call(t, "/order", `{"opType":"load","model":"m","adapter":"`+adapter+`","expect":`+expect+`,"holder":"`+holder+`","fencingToken":`+epoch+`}`)
		return status
	}
	stream := func(headers ...string) (int, string) {
		return f.call(t, "/chat/x", "", append(headers, "X-Attempt-Id", "1", "X-Model", "m/a1")...)
	}
	status, _ := stream()
	qt.Check(t, status, qt.Equals, http.StatusMisdirectedRequest)
	qt.Check(t, load("a1", "h1", "5", "7"), qt.Equals, http.StatusConflict)
	qt.Check(t, load("a1", "h1", "5", "0"), qt.Equals, http.StatusAccepted)
	for end := time.Now().Add(5 * time.Second); load("a1", "h1", "5", "0") != http.StatusOK; {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
	status, body := stream("Last-Event-Id", "1")
	qt.Check(t, status, qt.Equals, http.StatusOK)
	qt.Check(t, body, qt.Equals, Event("1", 2)+Event("1", 3))
	status, _ = stream("X-Expect-Version", "2")
	qt.Check(t, status, qt.Equals, http.StatusMisdirectedRequest)
	status, _ = stream("X-Expect-Instance", "other")
	qt.Check(t, status, qt.Equals, http.StatusMisdirectedRequest)
	qt.Assert(t, f.records, qt.HasLen, 2)
	qt.Check(t, f.records[1].Kind, qt.Equals, Ended)
	qt.Check(t, f.records[1].Attempt, qt.Equals, "1")

	qt.Check(t, load("a2", "h1", "5", "1"), qt.Equals, http.StatusConflict)
	qt.Check(t, load("a1", "h2", "5", "1"), qt.Equals, http.StatusOK)
	qt.Check(t, load("a1", "h2", "4", "1"), qt.Equals, http.StatusOK)
	qt.Assert(t, f.records, qt.HasLen, 5)
	qt.Check(t, f.records[2].Reason, qt.Matches, ".* beyond the slots")
	qt.Check(t, f.records[3].Reason, qt.Matches, "order of h2 after one of h1 .*")
	qt.Check(t, f.records[4].Reason, qt.Matches, "order of h2 after one of h1 .*")
}

// TestSpoiledStreams guards against a stand-in that spoils nothing, or every stream, or in some
// of the ways only, so that tests against it show nothing.
func TestSpoiledStreams(t *testing.T) {
	s := &Server{Settings: Settings{SpoiledOneIn: 4, Events: 4}}
	seen := make(map[string]int)
	for i := range 800 {
		attempt := strconv.Itoa(i)
		w := httptest.NewRecorder()
		w.Header().Set("Content-Type", "text/event-stream")
		cut := sendSpoiled(t, s, w, attempt)
		whole := Event(attempt, 1) + Event(attempt, 2) + Event(attempt, 3) + Event(attempt, 4)
		text, kind := w.Body.String(), w.Header().Get("Content-Type")
		switch {
		case kind != "text/event-stream":
			qt.Check(t, strings.HasPrefix(text, "garbage"), qt.IsTrue)
			seen[fmt.Sprintf("%s long=%t cut=%t", kind, len(text) > 256<<10, cut)]++
		case cut:
			seen["cut"]++
		case text == whole:
			seen["whole"]++
		case text == "":
			seen["empty"]++
		case len(text) < len(whole):
			seen["ended"]++
		case strings.Contains(text, Event(attempt, 3_000)):
			seen["without end"]++
		case strings.Contains(text, strings.Repeat(": garbage\n\n", 5_000)):
			seen["comments"]++
		case strings.Contains(text, strings.Repeat("\n", 5_000)):
			seen["empty lines"]++
		default:
			seen["longer"]++
		}
		qt.Check(t, s.spoil(httptest.NewRecorder(), attempt, 2, 3), qt.IsFalse)
	}
	qt.Check(t, seen["whole"] > 500 && seen["whole"] < 700, qt.IsTrue, qt.Commentf("%v", seen))
	for _, kind := range []string{
		"empty", "ended", "longer", "cut", "without end", "comments", "empty lines", " long=false cut=false", "text/plain long=false cut=false",
		"application/octet-stream long=true cut=false", " long=true cut=true", "text/plain long=true cut=true",
	} {
		qt.Check(t, seen[kind] > 0, qt.IsTrue, qt.Commentf("%s: %v", kind, seen))
	}
}

// sendSpoiled sends the stream of an attempt without its pauses and reports whether the
// connection is to close within the body.
func sendSpoiled(t *testing.T, s *Server, w http.ResponseWriter, attempt string) (cut bool) {
	defer func() {
		if cause := recover(); cause != nil {
			err, _ := cause.(error)
			qt.Assert(t, err, qt.ErrorIs, http.ErrAbortHandler)
			cut = true
		}
	}()
	for number := 1; number <= s.Events && !s.spoil(w, attempt, 0, number); number++ {
		_, _ = io.WriteString(w, Event(attempt, number))
	}
	return false
}

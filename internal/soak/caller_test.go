package main

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/site"
)

// TestFindMismatch guards against a soak that takes bytes for an answer, or for the begin of
// one, that no run made.
func TestFindMismatch(t *testing.T) {
	stream := &attempt{id: "1", kind: chat}
	header := http.Header{"X-Attempt-Id": {"1"}, "X-Response-Signature": {"signed-1"}}
	whole := expectedBody(stream, eventsPerStream)
	first := site.Event("1", 1)
	for _, test := range []struct {
		name     string
		kind     kind
		complete bool
		body     string
		isSound  bool
	}{
		{"whole stream", chat, true, whole, true},
		{"stream cut within an event", chat, false, first[:len(first)/2], true},
		{"stream cut at the asked number of tokens", chat, false, expectedBody(stream, maxOutputTokens), true},
		{"nothing", chat, false, "", true},
		{"whole body", booking, true, site.Body("1"), true},
		{"cut body", booking, false, site.Body("1")[:4], true},
		{"part of a stream as a whole one", chat, true, first, false},
		{"stream with more events, as a whole one", chat, true, expectedBody(stream, maxOutputTokens), false},
		{"stream with more events than tokens", chat, false, expectedBody(stream, maxOutputTokens+1), false},
		{"garbage", chat, false, "garbage", false},
		{"garbage after an event", chat, false, first + ": garbage\n", false},
		{"garbage before a whole stream", chat, true, "garbage" + whole, false},
		{"empty line after an event", chat, true, first + "\n" + strings.TrimPrefix(whole, first), false},
		{"garbage in a cut body", booking, false, "garbage", false},
	} {
		a := &attempt{id: "1", kind: test.kind, complete: test.complete}
		qt.Check(t, findMismatch(a, header, test.body) == "", qt.Equals, test.isSound, qt.Commentf("%s", test.name))
	}
	qt.Check(t, findMismatch(stream, http.Header{"X-Attempt-Id": {"2"}}, ""), qt.Not(qt.Equals), "")
}

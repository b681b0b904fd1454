package chat_test

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/protocol/chat"
)

// Guards against a request that runs on another adapter than its body names: if a
// key is repeated, the engine may take another of the two values than this decoder.
func TestDecodeCompletionRequestRejectsAmbiguousBodies(t *testing.T) {
	for _, test := range []struct {
		name, body, wantError string
	}{
		{"complete", `{"model":"a@1","messages":[],"stream":true,"x":{"y":1}}`, ""},
		{"model twice", `{"model":"a@1","model":"b@1","messages":[]}`, "body: key occurs more than once"},
		{"model in lower and upper case", `{"model":"a@1","Model":"b@1","messages":[]}`, "body: key occurs more than once"},
		{"no model", `{"messages":[]}`, "model: missing.*"},
		{"model of another type", `{"model":7,"messages":[]}`, "body: .*"},
		{"no messages", `{"model":"a@1"}`, "messages: missing.*"},
		{"messages of another type", `{"model":"a@1","messages":{}}`, "messages: missing.*"},
		{"truncated", `{"model":"a@1","messages":[`, "body: .*"},
		{"data after the end", `{"model":"a@1","messages":[]}{}`, "body: .*"},
		{"empty", ``, "body: .*"},
		{"JSON list", `[]`, "body: .*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			request, err := chat.DecodeCompletionRequest([]byte(test.body))
			if test.wantError != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.wantError)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, request, qt.Equals, chat.CompletionRequest{Model: "a@1", Stream: true})
		})
	}
}

// Guards against event data that is changed by encoding and decoding, for example at
// line feeds, against returning an event whose end is missing as complete, and against
// an event that fills the memory with one long line or with many lines.
func TestEventRoundTrip(t *testing.T) {
	c := qt.New(t)
	var stream []byte
	for _, data := range []string{`{"a":1}`, "two\nlines", chat.Done} {
		stream = chat.AppendEvent(stream, []byte(data))
	}
	text := ": comment\n\nevent: x\n" + string(stream) + "data: cut off"
	reader := chat.NewEventReader(strings.NewReader(text), 1024)
	for _, want := range []string{`{"a":1}`, "two\nlines", chat.Done} {
		data, err := reader.Next()
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, want)
	}
	_, err := reader.Next()
	c.Assert(err, qt.Equals, io.EOF)
	_, err = chat.NewEventReader(strings.NewReader("data: "+strings.Repeat("x", 100)+"\n\n"), 64).Next()
	c.Assert(err, qt.Equals, chat.ErrEventTooLong)
	_, err = chat.NewEventReader(strings.NewReader(strings.Repeat("data: x\n", 100)+"\n"), 64).Next()
	c.Assert(err, qt.Equals, chat.ErrEventTooLong)
}

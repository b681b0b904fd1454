package chat_test

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/protocol/chat"
)

// Guards against a request that runs on another adapter than its body names.
func TestDecodeCallRefusesAmbiguousBodies(t *testing.T) {
	for _, test := range []struct {
		name, body, failure string
	}{
		{"whole", `{"model":"a@1","messages":[],"stream":true,"x":{"y":1}}`, ""},
		{"model twice", `{"model":"a@1","model":"b@1","messages":[]}`, "body: the key is there twice"},
		{"model in two cases", `{"model":"a@1","Model":"b@1","messages":[]}`, "body: the key is there twice"},
		{"no model", `{"messages":[]}`, "model: missing.*"},
		{"model of another type", `{"model":7,"messages":[]}`, "body: .*"},
		{"no messages", `{"model":"a@1"}`, "messages: missing.*"},
		{"messages of another type", `{"model":"a@1","messages":{}}`, "messages: missing.*"},
		{"cut off", `{"model":"a@1","messages":[`, "body: .*"},
		{"data after the end", `{"model":"a@1","messages":[]}{}`, "body: .*"},
		{"empty", ``, "body: .*"},
		{"a list", `[]`, "body: .*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			call, err := chat.DecodeCompletionRequest([]byte(test.body))
			if test.failure != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.failure)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, call, qt.Equals, chat.CompletionRequest{Model: "a@1", Stream: true})
		})
	}
}

// Guards against events whose data is changed by framing, and against taking an
// event that was cut off for a whole one.
func TestEventsKeepTheirData(t *testing.T) {
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
}

package engineapi

import (
	"io"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
)

// A repeatingReader returns the bytes of text again and again.
type repeatingReader struct {
	text  string
	bytes int
}

func (r *repeatingReader) Read(buffer []byte) (int, error) {
	n := 0
	for n+len(r.text) <= len(buffer) {
		n += copy(buffer[n:], r.text)
	}
	r.bytes += n
	return n, nil
}

// TestEndlessEventIsRefused guards against an engine that fills the memory of the host
// with one event whose lines do not end.
func TestEndlessEventIsRefused(t *testing.T) {
	for _, text := range []string{"data: aaaaaaaaa\n", "data: a"} {
		t.Run(text, func(t *testing.T) {
			c := quicktest.New(t)
			source := &repeatingReader{text: text}
			_, err := NewEventReader(source, &buffering.Reservation{}, &buffering.Reservation{}).Next()
			c.Assert(err, quicktest.IsNotNil)
			c.Check(source.bytes < 4*maxEventBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes read", source.bytes))
		})
	}
}

// TestEventsOfAllKindsAreRead guards against events that change because their lines end in
// another way, have several lines of data or follow a comment, and against a stream that ends
// within an event and seems complete.
func TestEventsOfAllKindsAreRead(t *testing.T) {
	for _, test := range []struct {
		text string
		want []Event
		end  error
	}{
		{"id: 1\ndata: a\n\nid:2\r\ndata:b\r\n\r\n", []Event{{1, []byte("a")}, {2, []byte("b")}}, io.EOF},
		{": comment\n\n\ndata: a\ndata: b\nother: c\n\n", []Event{{-1, []byte("a\nb")}}, io.EOF},
		{"data: " + strings.Repeat("a", 10000) + "\n\ndata: b\n\n", []Event{{-1, []byte(strings.Repeat("a", 10000))}, {-1, []byte("b")}}, io.EOF},
		{"data: a\n\ndata: b\n", []Event{{-1, []byte("a")}}, errTruncatedEvent},
		{"data: a\n\ndat", []Event{{-1, []byte("a")}}, errTruncatedEvent},
	} {
		c := quicktest.New(t)
		events := NewEventReader(strings.NewReader(test.text), &buffering.Reservation{}, &buffering.Reservation{})
		for _, want := range test.want {
			event, err := events.Next()
			c.Assert(err, quicktest.IsNil)
			c.Check(event, quicktest.DeepEquals, want)
		}
		_, err := events.Next()
		c.Check(err, quicktest.Equals, test.end)
	}
}

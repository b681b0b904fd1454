package engineapi

import (
	"testing"

	"github.com/frankban/quicktest"
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
			_, err := NewEventReader(source).Next()
			c.Assert(err, quicktest.IsNotNil)
			c.Check(source.bytes < 4*maxEventBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes read", source.bytes))
		})
	}
}

package site

import (
	"io"

	"github.com/cespare/xxhash/v2"
)

// A spoiling says what a faulty engine sends in place of one event of a stream.
type spoiling struct {
	// text is sent instead of the event.
	text string
	// goesOn says that the stream continues with the event; otherwise it ends, with the
	// framing of a whole body.
	goesOn bool
}

// spoilings returns the ways in which the event with a number, in the stream of an attempt,
// is spoiled.
func spoilings(attempt string, number int) []spoiling {
	event := Event(attempt, number)
	return []spoiling{
		{text: event[:len(event)/2]},
		{text: "data: garbage\n\n"},
		{text: "data: garbage\n\n", goesOn: true},
		{text: Event(attempt, number-1), goesOn: true},
		{text: "\x01\xfegarbage\n\n", goesOn: true},
		{},
	}
}

// spoil sends the spoiled event of a stream if the attempt is one of those that are spoiled
// and the event is that one. ends says that the stream ends with it. A stream that is resumed
// is not spoiled again.
func (s *Server) spoil(w io.Writer, attempt string, last, number int) (ends bool) {
	hash := xxhash.Sum64String("spoil/" + attempt)
	if s.SpoiledOneIn <= 0 || hash%uint64(s.SpoiledOneIn) != 0 || last > 0 {
		return false
	}
	hash /= uint64(s.SpoiledOneIn)
	kinds := spoilings(attempt, number)
	kind := kinds[hash%uint64(len(kinds))]
	// A stream without any event is one of the kinds; the other ones begin soundly.
	spoiledEvent := 1 + s.Events/2
	if kind == (spoiling{}) {
		spoiledEvent = 1
	}
	if number != spoiledEvent {
		return false
	}
	_, _ = io.WriteString(w, kind.text)
	return !kind.goesOn
}

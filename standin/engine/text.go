package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A Text is the text of an answer, one word for each token. Every word depends on
// Request, Instance and Prompt, so that a piece of another answer is recognized.
type Text struct {
	// Request is the request id.
	Request string
	// Instance is the instance that the request ran on.
	Instance string
	// Prompt holds the messages of the request as "role: content" lines.
	Prompt string
	// Length is the number of words.
	Length int
}

// Word returns the word at position i, which starts at 0, with a space after it.
func (t Text) Word(i int) string {
	return fmt.Sprintf("%016x ", xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", t.Request, t.Instance, t.Prompt, i)))
}

// String returns the words of the whole text.
func (t Text) String() string {
	var text strings.Builder
	for i := range t.Length {
		text.WriteString(t.Word(i))
	}
	return text.String()
}

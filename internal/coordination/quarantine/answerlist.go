package quarantine

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// maxAnswers and maxAnswerTraits bound the memory of an answerList to about 0.5 MB with
	// traits of 16 bytes. Callers choose how many parts their prompts have.
	maxAnswers      = 256
	maxAnswerTraits = 1 << 14
)

// An answer is an answer that began to a request with the traits.
type answer struct {
	service site.ServiceName
	traits  []string
	at      time.Time
}

// An answerList has the last answers that were added to it.
type answerList struct {
	// answers are in the order in which they were added.
	answers []answer
	// size is the number of their traits.
	size int
}

// add adds an answer and drops the first ones beyond the bounds. The traits are not modified
// later.
func (l *answerList) add(a answer) {
	l.answers = append(l.answers, a)
	l.size += len(a.traits)
	for len(l.answers) > maxAnswers || l.size > maxAnswerTraits {
		l.dropFirst()
	}
}

// prune drops the answers up to the first one that began after the given time.
func (l *answerList) prune(before time.Time) {
	for len(l.answers) > 0 && !l.answers[0].at.After(before) {
		l.dropFirst()
	}
}

// dropFirst drops the answer that was added first.
func (l *answerList) dropFirst() {
	l.size -= len(l.answers[0].traits)
	l.answers[0] = answer{}
	l.answers = l.answers[1:]
}

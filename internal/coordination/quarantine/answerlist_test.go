package quarantine

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestAnswerListIsBounded guards against answers to requests with very long prompts, which callers
// choose, taking the memory of a host.
func TestAnswerListIsBounded(t *testing.T) {
	for _, test := range []struct {
		name              string
		traitCount, count int
	}{{"short prompts", 4, maxAnswers}, {"long prompts", 1000, maxAnswerTraits / 1000}, {"longer than the bound", maxAnswerTraits + 1, 0}} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			var l answerList
			start := time.Now()
			for n := range 2 * maxAnswers {
				l.add(answer{service: testService, traits: make([]string, test.traitCount), at: start.Add(time.Duration(n) * time.Second)})
			}
			c.Check(l.answers, quicktest.HasLen, test.count)
			c.Check(l.size, quicktest.Equals, test.count*test.traitCount)
			l.prune(start.Add((2*maxAnswers - 2) * time.Second))
			c.Check(l.answers, quicktest.HasLen, min(test.count, 1))
			l.prune(start.Add(2 * maxAnswers * time.Second))
			c.Check(l.size, quicktest.Equals, 0)
		})
	}
}

package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestPartFarBackInAPrompt guards against refusing all requests of a route because one part of a
// long prompt crashes engines, and against sending requests with this part on.
func TestPartFarBackInAPrompt(t *testing.T) {
	const bad = "part:bad"
	for _, test := range []struct {
		name         string
		parts, place int
		// others are traits that each request has too.
		others []string
	}{
		{"second of 20", 20, 2, []string{"content:c"}},
		{"18th of 20", 20, 18, []string{"content:c"}},
		{"18th of 20, with an adapter", 20, 18, []string{"adapter:a", "content:c"}},
		{"last of 20, without content", 20, 20, nil},
		{"16th of 17", 17, 16, []string{"adapter:a", "content:c"}},
		{"99th of 100", 100, 99, []string{"adapter:a", "content:c"}},
		{"last of as many as a head holds", 1365, 1365, []string{"adapter:a", "content:c"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			l, start := newTestLedger(0), time.Now()
			crashing, sound := promptTraits(test.parts, test.place, bad, test.others...), promptTraits(test.parts, 0, "", test.others...)
			for n := range 5 {
				after := time.Duration(n) * time.Second
				ended(after, n, crashing, sound).apply(l, start)
				began(after+500*time.Millisecond, sound...).apply(l, start)
			}
			c.Check(blockedTraits(l.evidence.blocks(start.Add(5*time.Second))), quicktest.DeepEquals, [][]string{{bad}})
		})
	}
}

// TestFarPartWithOneAdapter guards against sending on requests that crash engines by one adapter
// with one part of a long prompt, each of which is in sound requests.
func TestFarPartWithOneAdapter(t *testing.T) {
	c := quicktest.New(t)
	l, start := newTestLedger(0), time.Now()
	for n := range 5 {
		after := time.Duration(n) * time.Second
		ended(after, n, promptTraits(20, 18, "part:bad", "adapter:a", fmt.Sprintf("content:%d", n))).apply(l, start)
		began(after+300*time.Millisecond, promptTraits(20, 0, "", "adapter:a", "content:x")...).apply(l, start)
		began(after+400*time.Millisecond, promptTraits(20, 18, "part:bad", "adapter:b", "content:y")...).apply(l, start)
	}
	c.Check(blockedTraits(l.evidence.blocks(start.Add(5*time.Second))), quicktest.DeepEquals, [][]string{{"adapter:a", "part:bad"}})
}

// TestBlocksRefuseNoRequestWithAnAnswer guards against refusing requests that were answered since
// the engines ended, because the answers counted for other traits than the ends.
func TestBlocksRefuseNoRequestWithAnAnswer(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l, start := newTestLedger(0), time.Now()
		parts := rapid.IntRange(1, 24).Draw(r, "parts")
		request := rapid.Custom(func(r *rapid.T) []string {
			others := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"adapter:a", "adapter:b", "content:c"}), rapid.ID[string]).Draw(r, "others")
			return promptTraits(parts, rapid.IntRange(0, parts).Draw(r, "place"), "part:other", others...)
		})
		var ends []observation
		var answers []observation
		for n := range rapid.IntRange(3, 12).Draw(r, "observations") {
			after := time.Duration(n) * time.Second
			if rapid.Bool().Draw(r, "isAnswer") {
				answers = append(answers, began(after, request.Draw(r, "answered")...))
				answers[len(answers)-1].apply(l, start)
				continue
			}
			ends = append(ends, ended(after, n, rapid.SliceOfN(request, 1, 3).Draw(r, "suspects")...))
			ends[len(ends)-1].apply(l, start)
		}
		for _, b := range l.evidence.blocks(start.Add(time.Minute)) {
			for _, a := range answers {
				later := slices.DeleteFunc(slices.Clone(ends), func(o observation) bool { return o.after < a.after })
				if b.matches(a.sound) && len(later) < minEnds {
					r.Fatalf("%v is blocked, although requests with %v were answered after %v and fewer than %d engines ended since", b.traits, a.sound, a.after, minEnds)
				}
			}
		}
	})
}

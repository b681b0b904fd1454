package quarantine

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestAdaptersOfCallersDoNotHideAPart guards against a part that is never refused, although more
// and more engines end under it: each caller ends as many engines as make a block, which then
// covers only the adapter of that caller.
func TestAdaptersOfCallersDoNotHideAPart(t *testing.T) {
	const (
		callerCount, triesPerCaller = 6, 5
		// allowedEnds is the fifth end, as many as make a block, and the request that may be under
		// way at each of the other hosts.
		allowedEnds = 5 + 3
	)
	for _, test := range []struct {
		name string
		// isKnown means that each adapter has had an answer before.
		isKnown bool
	}{{"callers that have had answers", true}, {"new callers", false}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				s := startSite(c, 3, 0)
				defer s.close()
				adapter := func(caller int) string { return fmt.Sprintf("adapter-%d", caller) }
				for caller := range callerCount {
					if test.isKnown {
						s.began(caller%3, adapter(caller), "sound", "system")
					}
				}
				time.Sleep(5 * time.Second)
				ends := 0
				for caller := range callerCount {
					for try := range triesPerCaller {
						s.began(try%3, "adapter-of-others", "sound", "system")
						host := (caller + try) % 3
						if s.host(hostName(host)).BlockedFor(testService, []string{adapter(caller), "bad", "system"}) == 0 {
							s.end(host, ends, adapter(caller), "bad", "system")
							ends++
						}
						time.Sleep(550 * time.Millisecond)
					}
				}
				c.Check(ends <= allowedEnds, quicktest.IsTrue, quicktest.Commentf("%d engines ended", ends))
				c.Check(s.countBlocking("adapter-of-no-one", "bad"), quicktest.Equals, 3)
				c.Check(s.countBlocking(adapter(0), "sound", "system"), quicktest.Equals, 0)
			})
		})
	}
}

// TestOrderOfCallersDoesNotHideAPart guards against orders of callers and documents in which engines
// go on ending under a part, because each block also covers what the last requests shared.
func TestOrderOfCallersDoesNotHideAPart(t *testing.T) {
	const (
		requestCount = 40
		// allowedEnds is the fifth end and the three requests that may reach engines after it.
		allowedEnds = 5 + 3
	)
	rapid.Check(t, func(r *rapid.T) {
		l, start := newTestLedger(0), time.Now()
		callers, documents, tries := rapid.IntRange(0, 5), rapid.IntRange(0, 3), rapid.IntRange(1, 5)
		hasAnswers := rapid.Bool().Draw(r, "hasAnswers")
		ends, remainingTries := 0, 0
		var traits []string
		for n := range requestCount {
			after := time.Duration(n) * 550 * time.Millisecond
			if remainingTries == 0 {
				remainingTries = tries.Draw(r, "tries")
				traits = []string{
					fmt.Sprintf("adapter:%d", callers.Draw(r, "caller")), fmt.Sprintf("part:document-%d", documents.Draw(r, "document")),
					"part:bad", "part:system",
				}
			}
			remainingTries--
			if !slices.ContainsFunc(l.evidence.blocks(start.Add(after)), func(b block) bool { return b.matches(traits) }) {
				ended(after, ends, traits).apply(l, start)
				ends++
			}
			if hasAnswers {
				began(after+200*time.Millisecond, fmt.Sprintf("adapter:%d", callers.Draw(r, "sound caller")), "part:sound", "part:system").apply(l, start)
			}
		}
		if ends > allowedEnds {
			r.Fatalf("%d engines ended", ends)
		}
	})
}

// TestPartsDoNotBlockWhatTheyShare guards against refusing all requests of a route because two
// parts that crash engines came with the same sound part, which had answers until then but none
// while the engines ended.
func TestPartsDoNotBlockWhatTheyShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startSite(c, 3, 0)
		defer s.close()
		for host := range 3 {
			s.began(host, "adapter-of-others", "sound", "system")
		}
		time.Sleep(time.Second)
		for n := range 6 {
			s.end(n%3, n, fmt.Sprintf("adapter-%d", n), []string{"bad", "worse"}[n/3], "system")
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(touchTime)
		c.Check(s.countBlocking("adapter-of-others", "sound", "system"), quicktest.Equals, 0)
		c.Check(s.countBlocking("adapter-of-others", "bad", "system"), quicktest.Equals, 3)
		c.Check(s.countBlocking("adapter-of-others", "worse", "system"), quicktest.Equals, 3)
	})
}

// TestNewHostKnowsWhatIsInUse guards against hosts that refuse different requests because one of
// them did not see the answers before the engines ended.
func TestNewHostKnowsWhatIsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startSite(c, 3, 0)
		defer s.close()
		s.began(0, "sound", "system")
		time.Sleep(time.Second)
		for n := range 6 {
			s.end(0, n, []string{"bad", "worse"}[n/3], "system")
			time.Sleep(150 * time.Millisecond)
		}
		s.start(c, hostName(2))
		s.host(hostName(2)).AwaitEvidence(context.Background())
		time.Sleep(touchTime)
		c.Check(s.countBlocking("system"), quicktest.Equals, 0)
		c.Check(s.countBlocking("bad", "system"), quicktest.Equals, 3)
	})
}

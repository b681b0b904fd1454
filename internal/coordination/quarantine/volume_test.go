package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestExchangeDoesNotRepeatWhatIsKnown guards against hosts whose links are full of evidence
// that the other hosts have already: while one of them is full, neither the evidence nor the
// desired state arrives in time.
func TestExchangeDoesNotRepeatWhatIsKnown(t *testing.T) {
	const (
		hostCount, engineCount, suspectsPerEnd = 75, 38, 8
		// maxCopies is how often a host may get each observation, on average. It may be
		// sent the same one by several hosts at once.
		maxCopies = 3
	)
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startSite(c, hostCount, 0)
		defer s.close()
		time.Sleep(time.Minute)
		for engine := range engineCount {
			for n := range suspectsPerEnd {
				host := (engine*suspectsPerEnd + n) % hostCount
				s.end(host, engine, "system", fmt.Sprintf("own-%d-%d", engine, n))
			}
			s.end(engine%hostCount, engine, "system", "bad")
			time.Sleep(8 * time.Millisecond)
		}
		// A minute is as long as some bursts of such requests; all hosts know after seconds.
		time.Sleep(time.Minute)
		c.Check(s.countBlocking("system", "bad"), quicktest.Equals, hostCount)
		observations := engineCount * (suspectsPerEnd + 1)
		c.Check(s.sent.Load() <= int64(maxCopies*hostCount*observations), quicktest.IsTrue,
			quicktest.Commentf("%d copies of %d observations for %d hosts", s.sent.Load(), observations, hostCount))
	})
}

package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
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
		counted := &countingReports{Peers: s}
		for _, q := range s.hosts {
			q.Peers = counted
		}
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
		c.Check(counted.total() <= maxCopies*hostCount*observations, quicktest.IsTrue,
			quicktest.Commentf("%d copies of %d observations for %d hosts", counted.total(), observations, hostCount))
	})
}

// countingReports counts the observations that hosts send each other.
type countingReports struct {
	Peers
	mutex sync.Mutex
	sent  int
}

func (p *countingReports) ExchangeQuarantine(ctx context.Context, address string, report site.QuarantineReport) (site.QuarantineReport, error) {
	reply, err := p.Peers.ExchangeQuarantine(ctx, address, report)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, list := range append(report.Observations, reply.Observations...) {
		p.sent += len(list.Observations)
	}
	return reply, err
}

func (p *countingReports) total() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.sent
}

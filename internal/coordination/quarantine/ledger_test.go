package quarantine

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// relayDelay is how long a report takes from host to host in tests.
const relayDelay = 12 * time.Millisecond

// relay passes on what the first ledger knows, through a number of hosts to the last one.
func relay(from, to *ledger, hops int, now time.Time) {
	for hop := range hops {
		next := to
		if hop < hops-1 {
			next = newTestLedger(100 + hop)
		}
		lists := from.published().missing(next.published().known(), now)
		now = now.Add(relayDelay)
		next.merge(lists, now)
		from = next
	}
}

// TestRelaysDoNotMoveEnds guards against a host that does not refuse requests which all others
// refuse, because the end of one engine took a longer way to it than those of the others and
// appears to be within sameMomentWindow of the next.
func TestRelaysDoNotMoveEnds(t *testing.T) {
	c := quicktest.New(t)
	origin, receiver, start := newTestLedger(0), newTestLedger(1), time.Now()
	for n, hops := range []int{1, 6, 1} {
		after := time.Duration(n) * 150 * time.Millisecond
		ended(after, n, []string{"bad"}).apply(origin, start)
		relay(origin, receiver, hops, start.Add(after))
	}
	now := start.Add(time.Second)
	c.Check(blockedTraits(receiver.evidence.blocks(now)), quicktest.DeepEquals, blockedTraits(origin.evidence.blocks(now)))
	c.Check(blockedTraits(receiver.evidence.blocks(now)), quicktest.DeepEquals, [][]string{{"bad"}})
}

// TestClocksCorrectEndsOfOtherHosts guards against the same fault with ends that different
// hosts have seen: the delay of the first report would remain in the time of the end.
func TestClocksCorrectEndsOfOtherHosts(t *testing.T) {
	c := quicktest.New(t)
	receiver, start := newTestLedger(9), time.Now()
	var origins []*ledger
	for n, hops := range []int{1, 6, 1} {
		origin := newTestLedger(n)
		after := time.Duration(n) * 150 * time.Millisecond
		ended(after, n, []string{"bad"}).apply(origin, start)
		relay(origin, receiver, hops, start.Add(after))
		origins = append(origins, origin)
	}
	now := start.Add(time.Second)
	c.Check(receiver.evidence.blocks(now), quicktest.HasLen, 0)
	for _, origin := range origins {
		zeros := receiver.published().earlierClockZeros(origin.published().clocks(now), now.Add(relayDelay))
		receiver.mergeClocks(zeros)
	}
	c.Check(blockedTraits(receiver.evidence.blocks(now)), quicktest.DeepEquals, [][]string{{"bad"}})
}

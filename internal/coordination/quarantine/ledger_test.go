package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
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

// TestLargeReportArrivesInParts guards against a report that takes longer over a narrow link than
// an exchange may last, is sent again as a whole, and never arrives.
func TestLargeReportArrivesInParts(t *testing.T) {
	c := quicktest.New(t)
	origin, receiver, start := newTestLedger(0), newTestLedger(1), time.Now()
	for n := range 5 {
		for suspect := range 10 {
			ended(time.Duration(n)*time.Second, n, promptTraits(1000, 999, "part:bad", fmt.Sprintf("content:%d-%d", n, suspect))).apply(origin, start)
		}
	}
	now := start.Add(time.Minute)
	exchanges := 0
	for ; exchanges < 10; exchanges++ {
		lists := origin.published().missing(receiver.published().known(), now)
		if len(lists) == 0 {
			break
		}
		traitCount := 0
		for _, o := range lists[0].Observations {
			traitCount += len(o.Traits)
		}
		c.Assert(traitCount <= maxReportSize, quicktest.IsTrue)
		receiver.merge(lists, now)
	}
	c.Check(exchanges, quicktest.Equals, 4)
	c.Check(receiver.published().known(), quicktest.DeepEquals, map[site.Process]uint64{{Host: hostName(0), Start: 1}: 50, {Host: hostName(1), Start: 1}: 0})
	c.Check(blockedTraits(receiver.evidence.blocks(now)), quicktest.DeepEquals, blockedTraits(origin.evidence.blocks(now)))
}

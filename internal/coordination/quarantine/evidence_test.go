package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestBlocks guards against parts that crash engines and stay in use, and against blocks
// on parts that only happened to be on engines when these ended.
func TestBlocks(t *testing.T) {
	for _, test := range []struct {
		name         string
		observations []observation
		after        time.Duration
		want         [][]string
	}{
		{
			"a part under which three engines ended is blocked",
			[]observation{
				ended(0, 1, []string{"system", "a", "bad"}), began(time.Second, "system"),
				ended(2*time.Second, 2, []string{"system", "b", "bad"}), began(3*time.Second, "system"),
				ended(4*time.Second, 3, []string{"system", "c", "bad"}),
			},
			5 * time.Second,
			[][]string{{"bad"}},
		},
		{
			"two ends are not enough",
			[]observation{ended(0, 1, []string{"bad"}), ended(time.Second, 2, []string{"bad"}), ended(2*time.Second, 2, []string{"bad"})},
			3 * time.Second,
			nil,
		},
		{
			"engines that lose power together teach nothing",
			[]observation{ended(0, 1, []string{"system"}), ended(10*time.Millisecond, 2, []string{"system"}), ended(20*time.Millisecond, 3, []string{"system"})},
			time.Second,
			nil,
		},
		{
			"a part on which answers begin between the ends is not blocked",
			[]observation{
				ended(0, 1, []string{"system"}), ended(time.Second, 2, []string{"system"}), began(1500*time.Millisecond, "system"),
				ended(2*time.Second, 3, []string{"system"}), began(2500*time.Millisecond, "system"), ended(3*time.Second, 4, []string{"system"}),
			},
			4 * time.Second,
			nil,
		},
		{
			"parts that always come together are blocked together only",
			[]observation{
				ended(0, 1, []string{"system", "bad"}, []string{"system"}), ended(time.Second, 2, []string{"system", "bad"}),
				ended(2*time.Second, 3, []string{"system", "bad"}),
			},
			3 * time.Second,
			[][]string{{"bad", "system"}},
		},
		{
			"a waiting request of another kind does not widen the block",
			[]observation{
				ended(0, 1, []string{"system", "bad"}, []string{"other"}), ended(time.Second, 2, []string{"system", "bad"}, []string{"other"}),
				ended(2*time.Second, 3, []string{"system", "bad"}, []string{"other"}),
			},
			3 * time.Second,
			[][]string{{"bad", "system"}},
		},
		{
			"two parts that crash engines are both blocked",
			[]observation{
				ended(0, 1, []string{"x", "bad"}), ended(time.Second, 2, []string{"y", "worse"}), ended(2*time.Second, 3, []string{"z", "bad"}),
				ended(3*time.Second, 4, []string{"u", "worse"}), ended(4*time.Second, 5, []string{"v", "bad"}), ended(5*time.Second, 6, []string{"w", "worse"}),
			},
			6 * time.Second,
			[][]string{{"bad"}, {"worse"}},
		},
		{
			"a part that crashes engines with one adapter only is blocked with that adapter",
			[]observation{
				ended(0, 1, []string{"adapter", "part", "system"}), began(300*time.Millisecond, "adapter", "other"), began(400*time.Millisecond, "part", "system"),
				ended(time.Second, 2, []string{"adapter", "part", "system"}), began(1300*time.Millisecond, "adapter", "other"), began(1400*time.Millisecond, "part", "system"),
				ended(2*time.Second, 3, []string{"adapter", "part", "system"}), began(2300*time.Millisecond, "adapter", "system"), began(2400*time.Millisecond, "part", "system"),
			},
			3 * time.Second,
			[][]string{{"adapter", "part"}},
		},
		{
			"a pair of traits with sound answers is not blocked",
			[]observation{
				ended(0, 1, []string{"adapter", "part"}), ended(time.Second, 2, []string{"adapter", "part"}), began(1500*time.Millisecond, "adapter", "part", "other"),
				ended(2*time.Second, 3, []string{"adapter", "part"}),
			},
			3 * time.Second,
			nil,
		},
		{
			"a block ends",
			[]observation{ended(0, 1, []string{"bad"}), ended(time.Second, 2, []string{"bad"}), ended(2*time.Second, 3, []string{"bad"})},
			2*time.Second + blockDuration,
			nil,
		},
		{
			"one more end blocks the part again",
			[]observation{
				ended(0, 1, []string{"bad"}), ended(time.Second, 2, []string{"bad"}), ended(2*time.Second, 3, []string{"bad"}),
				ended(blockDuration+time.Minute, 4, []string{"bad"}),
			},
			blockDuration + 2*time.Minute,
			[][]string{{"bad"}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			l, start := newTestLedger(0), time.Now()
			for _, o := range test.observations {
				o.apply(l, start)
			}
			c.Assert(blockedTraits(l.evidence.blocks(start.Add(test.after))), quicktest.DeepEquals, test.want)
		})
	}
}

// TestHostsReachTheSameBlocks guards against hosts that refuse different requests
// although they have exchanged all reports, in whatever order.
func TestHostsReachTheSameBlocks(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		start := time.Now()
		hosts := []*ledger{newTestLedger(0), newTestLedger(1), newTestLedger(2)}
		parts := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID[string])
		for n := range rapid.IntRange(1, 12).Draw(r, "ends") {
			suspects := rapid.SliceOfN(parts, 1, 3).Draw(r, "suspects")
			host := hosts[rapid.IntRange(0, 2).Draw(r, "host")]
			if rapid.IntRange(0, 3).Draw(r, "kind") == 0 {
				began(time.Duration(n)*time.Second, parts.Draw(r, "answered")...).apply(host, start)
				continue
			}
			ended(time.Duration(n)*time.Second, rapid.IntRange(0, 8).Draw(r, "engine"), suspects...).apply(host, start)
		}
		now := start.Add(time.Minute)
		for range 2 {
			for _, pair := range rapid.Permutation([][2]int{{0, 1}, {1, 2}, {2, 0}, {1, 0}, {2, 1}, {0, 2}}).Draw(r, "exchanges") {
				hosts[pair[0]].receiveFrom(hosts[pair[1]], now)
			}
		}
		want := blockedTraits(hosts[0].evidence.blocks(now))
		for _, host := range hosts[1:] {
			if got := blockedTraits(host.evidence.blocks(now)); fmt.Sprint(got) != fmt.Sprint(want) {
				r.Fatalf("blocks %v and %v", want, got)
			}
		}
		if hosts[0].receiveFrom(hosts[1], now) {
			r.Fatalf("a host that knows everything is sent something")
		}
	})
}

// TestEvidenceIsBounded guards against evidence that grows without end while engines
// end for other reasons, and against blocks that are lost by this.
func TestEvidenceIsBounded(t *testing.T) {
	c := quicktest.New(t)
	l, start := newTestLedger(0), time.Now()
	e := l.evidence
	for n := range 3 {
		ended(time.Duration(n)*time.Second, n, []string{"bad"}).apply(l, start)
	}
	var now time.Time
	for n := 3; n < 1000; n++ {
		now = start.Add(time.Duration(n) * 300 * time.Millisecond)
		ended(now.Sub(start), n, []string{fmt.Sprintf("part-%d", n)}).apply(l, start)
		l.prune(e.blocks(now), now)
	}
	c.Check(len(e.ends) <= maxEnds, quicktest.IsTrue, quicktest.Commentf("%d ends", len(e.ends)))
	for n := range 2 * maxSuspectsPerEnd {
		ended(now.Sub(start), 2000, []string{fmt.Sprintf("part-%d", n)}).apply(l, start)
	}
	c.Check(len(e.ends[testEngine(2000)].suspects), quicktest.Equals, maxSuspectsPerEnd)
	l.prune(nil, now.Add(maxEndAge))
	c.Check(e.ends, quicktest.HasLen, 0)
	c.Check(l.size, quicktest.Equals, 0)
	c.Check(e.soundAt, quicktest.HasLen, 0)
}

// TestLongPromptsAreBounded guards against evidence that takes the memory of a host when the
// requests on engines that end have prompts of very many parts.
func TestLongPromptsAreBounded(t *testing.T) {
	c := quicktest.New(t)
	l, start := newTestLedger(0), time.Now()
	for n := range 20 {
		now := start.Add(time.Duration(n) * time.Second)
		for suspect := range 12 {
			ended(now.Sub(start), n, promptTraits(2*maxTraits, 0, "", fmt.Sprintf("content:%d", suspect))).apply(l, start)
			ended(now.Sub(start), n, promptTraits(maxTraits, suspect+1, "part:own")).apply(l, start)
		}
	}
	l.prune(nil, start.Add(time.Minute))
	traitCount := 0
	for _, known := range l.evidence.ends {
		traitCount += known.traitCount
		c.Check(known.traitCount <= maxTraitsPerEnd, quicktest.IsTrue)
	}
	c.Check(traitCount <= maxSuspectTraits, quicktest.IsTrue, quicktest.Commentf("%d traits", traitCount))
	c.Check(len(l.evidence.ends) >= minEnds, quicktest.IsTrue)
	c.Check(l.size <= maxLedgerSize, quicktest.IsTrue, quicktest.Commentf("%d traits observed", l.size))
}

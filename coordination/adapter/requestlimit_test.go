package adapter

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestNewestStatementHolds guards against an old statement of a server that replaces a
// newer one, because hosts report what they have seen in any order.
func TestNewestStatementHolds(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	var l requestLimit
	l.observe(site.StatedLimit{}, now)
	c.Check(l.isActive(), quicktest.IsFalse)
	l.observe(site.StatedLimit{Known: true, PerSecond: 4, Age: time.Second}, now)
	c.Check(l.isActive(), quicktest.IsTrue)
	l.observe(site.StatedLimit{Known: true, Age: 2 * time.Second}, now)
	c.Check(l.isActive(), quicktest.IsTrue)
	l.observe(site.StatedLimit{Known: true, PerSecond: 6, Age: 3 * time.Second}, now)
	c.Check(float64(l.bucket.Limit()), quicktest.Equals, 4.0)
	l.observe(site.StatedLimit{Known: true, Age: time.Millisecond}, now)
	c.Check(l.isActive(), quicktest.IsFalse)
}

// TestTurnsKeepToTheLimit guards against more turns in any second than the limit and one
// burst, also while the stated limit changes all the time.
func TestTurnsKeepToTheLimit(t *testing.T) {
	c := quicktest.New(t)
	start := time.Now()
	var l requestLimit
	turns := 0
	for step := range 4000 {
		now := start.Add(time.Duration(step) * time.Millisecond)
		l.observe(site.StatedLimit{Known: true, PerSecond: 4 + float64(step%2)/10}, now)
		if l.hasTurn(0, now) {
			l.take(now)
			turns++
		}
	}
	c.Check(turns >= 14 && turns <= 19, quicktest.IsTrue, quicktest.Commentf("%d turns in 4 s at about 4 a second", turns))
	end := start.Add(4 * time.Second)
	c.Check(l.turnWait(3, 0, end) > 500*time.Millisecond, quicktest.IsTrue)
	c.Check(l.turnWait(3, 0, end) <= time.Second, quicktest.IsTrue)
}

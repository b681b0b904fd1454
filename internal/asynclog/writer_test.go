package asynclog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestLinesAreBounded guards against logs that slow the host down, and against
// drops that nobody learns of.
func TestLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var out bytes.Buffer
		w := &Writer{Target: &out}
		go w.Run(context.Background())
		for i := range 3 * LinesPerSecond {
			fmt.Fprintf(w, "line %d\n", i)
			synctest.Wait()
		}
		time.Sleep(time.Second)
		fmt.Fprintln(w, "later")
		synctest.Wait()
		c.Assert(w.Close(), quicktest.IsNil)
		c.Assert(strings.Count(out.String(), "line "), quicktest.Equals, LinesPerSecond)
		c.Assert(strings.Contains(out.String(), fmt.Sprintf(`"dropped":%d`, 2*LinesPerSecond)), quicktest.IsTrue)
		c.Assert(strings.HasSuffix(out.String(), "later\n"), quicktest.IsTrue)
	})
}

// A stuckTarget never takes a line.
type stuckTarget struct{ released chan struct{} }

func (s stuckTarget) Write(line []byte) (int, error) {
	<-s.released
	return len(line), nil
}

// TestWriteDoesNotBlock guards against requests that wait for the log.
func TestWriteDoesNotBlock(t *testing.T) {
	c := quicktest.New(t)
	target := stuckTarget{released: make(chan struct{})}
	w := &Writer{Target: target}
	go w.Run(context.Background())
	began := time.Now()
	for range 2 * capacity {
		fmt.Fprintln(w, "line")
	}
	c.Assert(time.Since(began) < time.Second, quicktest.IsTrue)
	c.Assert(w.dropped.Load() > 0, quicktest.IsTrue)
	close(target.released)
	c.Assert(w.Close(), quicktest.IsNil)
}

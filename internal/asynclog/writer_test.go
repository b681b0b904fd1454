package asynclog

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against a flood of log lines that takes processor time from requests, and
// against dropped lines that are not reported.
func TestLinesPerSecondAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var out bytes.Buffer
		w := &Writer{Target: &out}
		go w.Run(context.Background())
		for i := range 3 * MaxLinesPerSecond {
			fmt.Fprintf(w, "line %d\n", i)
			synctest.Wait()
		}
		time.Sleep(time.Second)
		fmt.Fprintln(w, "later")
		synctest.Wait()
		c.Assert(w.Close(), quicktest.IsNil)
		c.Assert(strings.Count(out.String(), "line "), quicktest.Equals, MaxLinesPerSecond)
		c.Assert(strings.Contains(out.String(), fmt.Sprintf(`"dropped":%d`, 2*MaxLinesPerSecond)), quicktest.IsTrue)
		c.Assert(strings.HasSuffix(out.String(), "later\n"), quicktest.IsTrue)
	})
}

// A blockedTarget blocks each write until released is closed, and then records it.
type blockedTarget struct {
	released chan struct{}
	written  bytes.Buffer
}

func (b *blockedTarget) Write(line []byte) (int, error) {
	<-b.released
	return b.written.Write(line)
}

// Guards against requests that wait for the log: while the target blocks, Write must
// drop the lines that do not fit into the queue, and count them. Run may begin before or after
// the queue is full.
func TestWriteDoesNotBlock(t *testing.T) {
	c := quicktest.New(t)
	target := &blockedTarget{released: make(chan struct{})}
	w := &Writer{Target: target}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	began := time.Now()
	for range 2 * maxQueuedLines {
		fmt.Fprintln(w, "line")
	}
	c.Assert(time.Since(began) < time.Second, quicktest.IsTrue)
	close(target.released)
	// Close before Run would leave the lines in the queue.
	end()
	c.Assert(<-ended, quicktest.IsNil)
	dropped := 0
	for _, report := range regexp.MustCompile(`"dropped":(\d+)`).FindAllStringSubmatch(target.written.String(), -1) {
		count, err := strconv.Atoi(report[1])
		c.Assert(err, quicktest.IsNil)
		dropped += count
	}
	c.Assert(dropped > 0, quicktest.IsTrue)
	c.Assert(strings.Count(target.written.String(), "line\n")+dropped, quicktest.Equals, 2*maxQueuedLines)
}

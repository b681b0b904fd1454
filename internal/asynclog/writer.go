// Package asynclog writes log lines on a goroutine of its own, so that the code that
// logs never waits for the output.
package asynclog

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
)

const (
	// maxQueuedLines is the number of lines that can wait in the queue.
	maxQueuedLines = 1024
	// MaxLinesPerSecond is the most lines that are written in one second. Further lines
	// are dropped and counted, because writing them costs processor time that
	// requests need.
	MaxLinesPerSecond = 400
)

// A Writer queues log lines and writes them to Target on the goroutine of Run. Its
// exported fields are set before use. Lines are dropped when the queue is full or the
// limit of the second is reached; their number is logged as a line of its own.
type Writer struct {
	Target io.Writer
	// Host is the host name in the lines that report dropped lines; it may be empty.
	Host string

	lifecycle duty.Lifecycle
	initOnce  sync.Once
	queue     *ring.Ring[[]byte]
	dropped   atomic.Int64
}

// initQueue creates the queue on first use, since Write may be called before Run.
func (w *Writer) initQueue() {
	w.initOnce.Do(func() { w.queue = ring.New[[]byte](maxQueuedLines) })
}

// Write queues a copy of one line, or drops the line if the queue is full. It never
// blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.initQueue()
	if !w.queue.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until ctx is done or Close is called. Then it writes the
// lines still in the queue and returns.
func (w *Writer) Run(ctx context.Context) error {
	w.initQueue()
	return w.lifecycle.Run(ctx, w.writeLines)
}

// Close stops Run and waits until it has returned.
func (w *Writer) Close() error {
	return w.lifecycle.Close()
}

// writeLines writes queued lines within the limit of each second until ctx is done.
func (w *Writer) writeLines(ctx context.Context) error {
	var windowStart time.Time
	budget := 0
	for {
		select {
		case line := <-w.queue.Messages():
			if now := time.Now(); now.Sub(windowStart) >= time.Second {
				windowStart, budget = now, MaxLinesPerSecond
				w.writeDroppedCount()
			}
			if budget == 0 {
				w.dropped.Add(1)
				continue
			}
			budget--
			w.write(line)
		case <-ctx.Done():
			w.flush()
			return ctx.Err()
		}
	}
}

// flush writes all queued lines, without the limit per second, because the last lines
// say why the process stops.
func (w *Writer) flush() {
	for w.queue.Len() > 0 {
		w.write(<-w.queue.Messages())
	}
	w.writeDroppedCount()
}

// writeDroppedCount writes a line with the number of lines dropped since the last such
// line, if there are any.
func (w *Writer) writeDroppedCount() {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		var line bytes.Buffer
		logger := zerolog.New(&line)
		logger.Warn().Str("host", w.Host).Timestamp().Int64("dropped", dropped).Msg("log lines were dropped")
		w.write(line.Bytes())
	}
}

func (w *Writer) write(line []byte) {
	// The error is ignored: there is no other place to report that the log cannot be
	// written.
	_, _ = w.Target.Write(line)
}

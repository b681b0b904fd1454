// Package asynclog writes log lines without blocking those who log.
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
	// capacity is the number of lines that wait for the writer.
	capacity = 1024
	// LinesPerSecond bounds the volume. Further lines of a second are dropped and
	// counted, because each costs processor time that requests need.
	LinesPerSecond = 400
)

// A Writer is the duty that writes lines to Target. Its exported fields are set
// before use. Lines that find its ring full or the second's budget spent are
// dropped; their number is written as a line of its own.
type Writer struct {
	Target io.Writer
	// Host names the writing host in lines about dropped ones; it may be empty.
	Host string

	lifecycle duty.Lifecycle
	once      sync.Once
	lines     *ring.Ring[[]byte]
	dropped   atomic.Int64
}

func (w *Writer) prepare() {
	w.once.Do(func() { w.lines = ring.New[[]byte](capacity) })
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.prepare()
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes until ctx ends or Close is called, then writes what waits.
func (w *Writer) Run(ctx context.Context) error {
	w.prepare()
	return w.lifecycle.Run(ctx, w.loop)
}

// Close ends the duty and waits until it has ended.
func (w *Writer) Close() error {
	return w.lifecycle.Close()
}

func (w *Writer) loop(ctx context.Context) error {
	var second time.Time
	budget := 0
	for {
		select {
		case line := <-w.lines.Messages():
			if now := time.Now(); now.Sub(second) >= time.Second {
				second, budget = now, LinesPerSecond
				w.report()
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

// flush writes the lines that wait when the duty ends, which tell of the stop.
func (w *Writer) flush() {
	for w.lines.Len() > 0 {
		w.write(<-w.lines.Messages())
	}
	w.report()
}

// report writes how many lines were dropped since the last report.
func (w *Writer) report() {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		var line bytes.Buffer
		logger := zerolog.New(&line)
		logger.Warn().Str("host", w.Host).Timestamp().Int64("dropped", dropped).Msg("log lines were dropped")
		w.write(line.Bytes())
	}
}

func (w *Writer) write(line []byte) {
	// There is nowhere to tell of a failure to write the log.
	_, _ = w.Target.Write(line)
}

package forward

import (
	"sync"
	"time"
)

const (
	// maxLinesPerSecond is how many log lines of one kind callers can cause in a second.
	maxLinesPerSecond = 10
	// maxLoggedIDBytes bounds the id of a request in log lines, since callers choose it.
	maxLoggedIDBytes = 128
)

// A lineLimit limits log lines of one kind and counts those left out. The zero value is
// ready for use.
type lineLimit struct {
	mutex sync.Mutex
	// since is when the present second began. lines and omitted count what was written in
	// it, and what was left out since the last line.
	since          time.Time
	lines, omitted int
}

// take reports whether a line may be written now, and how many were left out before it.
func (l *lineLimit) take(now time.Time) (omitted int, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxLinesPerSecond {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// loggedID returns the id of the request as log lines show it.
func (r *Request) loggedID() string {
	return r.AttemptID[:min(len(r.AttemptID), maxLoggedIDBytes)]
}

package quarantine

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A message is an input of the duty, handled on the goroutine of Run. It reports
// whether anything was not known before.
type message interface {
	apply(l *ledger, now time.Time) bool
}

// An interruption is a request whose server ended before the answer had begun.
type interruption struct {
	engine  site.Incarnation
	service site.ServiceName
	traits  []string
	// earlier has answers that this host has seen to requests with some of the traits.
	earlier []answer
	// done is closed when the evidence is published.
	done chan struct{}
}

func (i *interruption) apply(l *ledger, now time.Time) bool {
	changed := l.recordEnd(i.engine, i.service, i.traits, now)
	for _, a := range i.earlier {
		changed = l.recordEarlier(a) || changed
	}
	return changed
}

// A soundAnswer is an answer that has begun. traits is sorted.
type soundAnswer struct {
	service site.ServiceName
	traits  []string
}

func (s soundAnswer) apply(l *ledger, now time.Time) bool {
	return l.recordSound(s.service, s.traits, now)
}

// A peerReport has observations that another host sent.
type peerReport []site.ProcessObservations

func (p peerReport) apply(l *ledger, now time.Time) bool {
	return l.merge(p, now)
}

// clockZeros are times at which the clocks of processes showed 0, as told by another host.
type clockZeros map[site.Process]time.Time

func (z clockZeros) apply(l *ledger, _ time.Time) bool {
	return l.mergeClocks(z)
}

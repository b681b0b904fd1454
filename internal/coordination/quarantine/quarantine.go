// Package quarantine finds requests that crash engines by the traits that they share, such
// as an adapter or a part of a prompt, and blocks the requests that have these traits. All
// hosts of a site exchange what they have seen, so that each blocks the same requests.
package quarantine

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// EngineProber checks engines that have closed a connection.
type EngineProber interface {
	// HasEnded reports whether certainly no process listens at the address. It returns
	// false if ctx ends first.
	HasEnded(ctx context.Context, address string) bool
}

// Peers sends reports to other hosts.
type Peers interface {
	// ExchangeQuarantine sends the report to the host at the address and returns the
	// report of that host.
	ExchangeQuarantine(ctx context.Context, address string, report site.QuarantineReport) (site.QuarantineReport, error)
}

// ViewSource returns the newest view of the site.
type ViewSource interface {
	View() *site.View
}

const (
	// messageCapacity is the number of messages that may wait for the duty. A message
	// that does not fit is dropped; its request is then no evidence.
	messageCapacity = 1024
	// probeTimeout bounds the check whether an engine has ended. The request that was
	// interrupted waits for it.
	probeTimeout = 100 * time.Millisecond
)

// A Quarantine is the duty that collects the evidence and decides on the blocks. Its
// exported fields are set before Run.
type Quarantine struct {
	// Self is the name of this host, and Start the start number of this process.
	Self   string
	Start  int64
	Views  ViewSource
	Prober EngineProber
	// Peers is nil for a host without others.
	Peers Peers
	Log   zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	messages  *ring.Ring[message]
	// published is what other goroutines read of the evidence. It is replaced on each
	// change and never modified.
	published atomic.Pointer[snapshot]
	watches   watchList
	// recent has the last answers of this host.
	recent recentAnswers
	// askOnce starts the goroutine that asks other hosts and then closes asked.
	askOnce sync.Once
	asked   chan struct{}
	// The fields below belong to the goroutine of Run.
	ledger *ledger
	// changedAt is when the evidence last changed, or the start of Run.
	changedAt                  time.Time
	lastExchange, nextExchange time.Time
}

// A snapshot is the evidence at one time, with what follows from it.
type snapshot struct {
	blocks []block
	// suspects has the sets of suspect traits without an answer since their newest end. It is
	// not modified.
	suspects *suspectIndex
	// ended has the engines that are known to have ended.
	ended map[site.Incarnation]bool
	// ledger has the observations that hosts exchange.
	ledger publishedLedger
}

func (q *Quarantine) prepare() {
	q.once.Do(func() {
		q.messages = ring.New[message](messageCapacity)
		q.ledger = newLedger(site.Process{Host: q.Self, Start: q.Start})
		q.published.Store(&snapshot{suspects: newSuspectIndex()})
		q.asked = make(chan struct{})
	})
}

// Run collects evidence and exchanges it with other hosts until ctx ends or Close is
// called.
func (q *Quarantine) Run(ctx context.Context) error {
	q.prepare()
	return q.lifecycle.Run(ctx, q.loop)
}

// Close ends the duty and waits until it has ended.
func (q *Quarantine) Close() error {
	return q.lifecycle.Close()
}

// BlockedFor returns how long requests of the service with these traits remain refused,
// or 0 if they are not refused.
func (q *Quarantine) BlockedFor(service site.ServiceName, traits []string) time.Duration {
	q.prepare()
	for _, b := range q.published.Load().blocks {
		if b.service == service && b.matches(traits) {
			return max(time.Until(b.until), 0)
		}
	}
	return 0
}

// BlockCount returns the number of blocks in force.
func (q *Quarantine) BlockCount() int {
	q.prepare()
	count := 0
	for _, b := range q.published.Load().blocks {
		if time.Now().Before(b.until) {
			count++
		}
	}
	return count
}

// RecordInterruption records that a server closed the connection of a request before
// its answer had begun. The request is evidence if the server's process has ended. It
// returns when later calls of BlockedFor take the evidence into account.
func (q *Quarantine) RecordInterruption(ctx context.Context, server *site.Server, traits []string) {
	q.prepare()
	if len(traits) == 0 {
		return
	}
	if !q.published.Load().ended[server.Incarnation] && !q.hasEnded(ctx, server) {
		return
	}
	m := &interruption{
		engine: server.Incarnation, service: server.Service, traits: traits,
		earlier: q.recent.withTraitsOf(server.Service, traits, time.Now()), done: make(chan struct{}),
	}
	if !q.messages.Offer(m) {
		return
	}
	select {
	case <-m.done:
	case <-ctx.Done():
	}
}

// hasEnded checks whether the server's process has ended. A server that has closed only
// a connection still accepts others.
func (q *Quarantine) hasEnded(ctx context.Context, server *site.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return q.Prober.HasEnded(ctx, server.Address)
}

// RecordSound records that the answer to a request with these traits has begun.
func (q *Quarantine) RecordSound(service site.ServiceName, traits []string) {
	q.prepare()
	q.recent.add(answer{service: service, traits: traits, at: time.Now()})
	suspects := q.published.Load().suspects
	if len(suspects.newest) == 0 {
		return
	}
	traits = sortedTraits(traits)
	for range suspects.within(service, traits) {
		q.messages.Offer(soundAnswer{service: service, traits: traits})
		return
	}
}

func (q *Quarantine) loop(ctx context.Context) error {
	q.changedAt = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-q.messages.Messages():
			q.handle(m)
		case <-timer.C:
			q.exchange(ctx, time.Now())
		}
		timer.Reset(time.Until(q.nextExchange))
	}
}

// handle applies a message and those that wait behind it, and publishes the evidence if it
// has changed. After an end many messages come at once, and each decision about blocks takes
// milliseconds.
func (q *Quarantine) handle(first message) {
	now := time.Now()
	batch := []message{first}
	for range q.messages.Len() {
		batch = append(batch, <-q.messages.Messages())
	}
	changed := false
	for _, m := range batch {
		changed = m.apply(q.ledger, now) || changed
	}
	if changed {
		q.changedAt = now
		q.publish(now)
		// Engines end until all hosts know, so a change is passed on at once.
		if soon := q.lastExchange.Add(minExchangeInterval); soon.Before(q.nextExchange) {
			q.nextExchange = soon
		}
	}
	for _, m := range batch {
		switch m := m.(type) {
		case *interruption:
			close(m.done)
		case barrier:
			close(m)
		}
	}
}

// publish decides on the blocks, logs those that begin or end, and publishes a snapshot.
func (q *Quarantine) publish(now time.Time) {
	e := q.ledger.evidence
	blocks := e.blocks(now)
	q.ledger.prune(blocks, now)
	q.logChanges(q.published.Load().blocks, blocks)
	s := &snapshot{blocks: blocks, suspects: e.openSuspects(), ended: make(map[site.Incarnation]bool), ledger: q.ledger.published()}
	for engine := range e.ends {
		s.ended[engine] = true
	}
	q.published.Store(s)
	q.watches.notify(blocks)
}

// logChanges logs the blocks that have begun and those that have ended.
func (q *Quarantine) logChanges(before, after []block) {
	known := make(map[string]block)
	for _, b := range before {
		known[b.key()] = b
	}
	for _, b := range after {
		if _, ok := known[b.key()]; !ok {
			q.Log.Warn().Str("service", string(b.service)).Str("traits", strings.Join(b.traits, ",")).Int("ended-engines", b.ends).
				Dur("for", time.Until(b.until)).Msg("requests with these traits are refused: engines ended under them")
		}
		delete(known, b.key())
	}
	for _, b := range known {
		q.Log.Info().Str("service", string(b.service)).Str("traits", strings.Join(b.traits, ",")).
			Msg("requests with these traits are no longer refused")
	}
}

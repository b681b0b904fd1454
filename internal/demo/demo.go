package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// The load of the demo and the limits on its start and end.
const (
	chatsPerSecond    = 40
	bookingsPerSecond = 8
	zipfExponent      = 1.1
	// readyTimeout bounds the wait until all entry hosts are ready.
	readyTimeout = 30 * time.Second
	// drainTimeout bounds the wait for requests that are open when the load ends.
	drainTimeout = 30 * time.Second
)

// A Demo is one run of a deployment under load and faults. Its exported fields are set
// before Run.
type Demo struct {
	// Deployment names the failure domains, servers and kinds of the run.
	Deployment Deployment
	// Duration is how long requests are started. It must be at least a few seconds, so
	// that every fault has time to take effect.
	Duration time.Duration
	// Seed determines the load, the random choices of the stand-ins and which servers
	// the faults affect.
	Seed uint64
	// Output receives the summary, the page of the day and the invariants.
	Output io.Writer
	// Progress receives a progress line that is rewritten in place. It may be nil.
	Progress io.Writer
	// Log receives the log lines of the hosts and of the demo itself.
	Log zerolog.Logger
}

// ErrInvariantViolated is returned by Run when an invariant was violated, or when the run
// had no case that could show whether it holds.
var ErrInvariantViolated = trace.Errorf("an invariant did not hold")

// Run starts the deployment, sends the load while it injects the faults, and prints the
// report to Output.
func (d *Demo) Run(ctx context.Context) error {
	s, err := newSystem(d.Deployment, d.Seed, d.Log)
	if err != nil {
		return err
	}
	defer s.close()
	stopHosts := sync.OnceFunc(s.stopHosts)
	defer stopHosts()
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.waitReady(limited); err != nil {
		return trace.Wrap(err)
	}
	c := newCallers(s)
	began := time.Now()
	outcome := d.runLoadAndFaults(ctx, s, c)
	checks := checkInvariants(s, c, outcome)
	writeSummary(d.Output, d, s, c, outcome)
	stopHosts()
	if err := writePage(ctx, d.Output, s, began); err != nil {
		return err
	}
	if !checks.write(d.Output) {
		return ErrInvariantViolated
	}
	return nil
}

// runLoadAndFaults sends the load, injects the faults and watches the hosts' revisions at
// the same time. It returns when all requests have ended, or after drainTimeout.
func (d *Demo) runLoadAndFaults(ctx context.Context, s *system, c *callers) *faultOutcome {
	began := time.Now()
	loading, stopLoading := context.WithTimeout(ctx, d.Duration)
	defer stopLoading()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	revisionReadings := &faultOutcome{}
	var watchers, requests sync.WaitGroup
	watchers.Go(func() { s.watchRevisions(watching, revisionReadings) })
	var outcome *faultOutcome
	watchers.Go(func() { outcome = s.injectFaults(ctx, c, d.Duration, d.Seed) })
	d.sendLoad(loading, ctx, c, &requests, began)
	drained := make(chan struct{})
	go func() {
		requests.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-time.After(drainTimeout):
		d.Log.Error().Msg("requests are still open after the drain limit")
	}
	stopWatching()
	watchers.Wait()
	outcome.reverts, outcome.readings = revisionReadings.reverts, revisionReadings.readings
	if d.Progress != nil {
		_, _ = fmt.Fprintln(d.Progress)
	}
	return outcome
}

// sendLoad starts chat requests and bookings at random times until the context loading
// ends. The requests themselves run under ctx, so that they can finish after that.
func (d *Demo) sendLoad(loading, ctx context.Context, c *callers, requests *sync.WaitGroup, began time.Time) {
	random := rand.New(rand.NewPCG(d.Seed, 1))
	zipf := rand.NewZipf(random, zipfExponent, 1, adapterCount-1)
	progress := time.Now()
	for number := 0; ; number++ {
		gap := random.ExpFloat64() / (chatsPerSecond + bookingsPerSecond)
		if !duty.Sleep(loading, time.Duration(gap*float64(time.Second))) {
			return
		}
		adapter := fleet.AdapterReference{Name: adapterName(int(zipf.Uint64())), Version: 1}
		switch chance := random.Float64() * (chatsPerSecond + bookingsPerSecond); {
		case chance < chatsPerSecond:
			requests.Go(func() { c.chat(ctx, number, adapter) })
		case number%3 == 0:
			requests.Go(func() { c.book(ctx, number, &adapter) })
		default:
			requests.Go(func() { c.book(ctx, number, nil) })
		}
		if d.Progress != nil && time.Since(progress) > 200*time.Millisecond {
			progress = time.Now()
			_, _ = fmt.Fprintf(d.Progress, "\r%s: %5.1f s of %s, %d requests started", d.Deployment.Name, time.Since(began).Seconds(), d.Duration, number+1)
		}
	}
}

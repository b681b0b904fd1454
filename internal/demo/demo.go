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

// The load of the demo.
const (
	chatsPerSecond    = 40
	bookingsPerSecond = 8
	zipfExponent      = 1.1
	readyLimit        = 30 * time.Second
	// drainLimit bounds the requests that are open when the load ends.
	drainLimit = 30 * time.Second
)

// A Demo is one run. Its exported fields are set before Run.
type Demo struct {
	// Deployment is what runs.
	Deployment Deployment
	// Length is how long requests are started; at least a few seconds, so that
	// every fault has its time.
	Length time.Duration
	// Seed determines load and faults.
	Seed uint64
	// Output receives the summary and the invariants.
	Output io.Writer
	// Progress receives a line that is rewritten; nil means none.
	Progress io.Writer
	// Log receives the log of the hosts.
	Log zerolog.Logger
}

// ErrInvariantViolated is returned by Run when an invariant did not hold.
var ErrInvariantViolated = trace.Errorf("an invariant did not hold")

// Run runs the demo and prints its report.
func (d *Demo) Run(ctx context.Context) error {
	s, err := newSystem(d.Deployment, d.Seed, d.Log)
	if err != nil {
		return err
	}
	defer s.close()
	stopHosts := sync.OnceFunc(s.stopHosts)
	defer stopHosts()
	limited, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := s.ready(limited); err != nil {
		return trace.Wrap(err)
	}
	c := newCallers(s)
	began := time.Now()
	course := d.drive(ctx, s, c)
	judgement := judge(s, c, course)
	writeSummary(d.Output, d, s, c, course)
	stopHosts()
	if err := writePage(ctx, d.Output, s, began); err != nil {
		return err
	}
	if !judgement.write(d.Output) {
		return ErrInvariantViolated
	}
	return nil
}

// drive sends the load while the faults are brought about.
func (d *Demo) drive(ctx context.Context, s *system, c *callers) *course {
	began := time.Now()
	loading, stopLoading := context.WithTimeout(ctx, d.Length)
	defer stopLoading()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	watched := &course{}
	var watchers, requests sync.WaitGroup
	watchers.Go(func() { s.watchRevisions(watching, watched) })
	var course *course
	watchers.Go(func() { course = s.bring(ctx, c, d.Length, d.Seed) })
	d.load(loading, ctx, c, &requests, began)
	drained := make(chan struct{})
	go func() {
		requests.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-time.After(drainLimit):
		d.Log.Error().Msg("requests are still open after the drain limit")
	}
	stopWatching()
	watchers.Wait()
	course.reverts, course.readings = watched.reverts, watched.readings
	if d.Progress != nil {
		_, _ = fmt.Fprintln(d.Progress)
	}
	return course
}

// load starts requests at random times until loading ends.
func (d *Demo) load(loading, ctx context.Context, c *callers, requests *sync.WaitGroup, began time.Time) {
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
			_, _ = fmt.Fprintf(d.Progress, "\r%s: %5.1f s of %s, %d requests started", d.Deployment.Name, time.Since(began).Seconds(), d.Length, number+1)
		}
	}
}

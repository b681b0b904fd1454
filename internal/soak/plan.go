package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	standin "github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/standin/relay"
)

// A fault is one disturbance of the deployment. It returns when it is over.
type fault struct {
	name string
	// weight says how often the fault is drawn against the others.
	weight int
	strike func(ctx context.Context, d *deployment, random *rand.Rand)
}

// faults are all disturbances that a run draws from. Several last at once.
var faults = []fault{
	{"host killed", 3, func(ctx context.Context, d *deployment, random *rand.Rand) {
		restart(ctx, d.host(random), syscall.SIGKILL, random)
	}},
	{"host stopped", 2, func(ctx context.Context, d *deployment, random *rand.Rand) {
		restart(ctx, d.host(random), syscall.SIGTERM, random)
	}},
	{"host paused", 3, func(ctx context.Context, d *deployment, random *rand.Rand) {
		freeze(ctx, &d.host(random).process, random, 4*time.Second)
	}},
	{"host reloads", 1, func(_ context.Context, d *deployment, random *rand.Rand) { d.host(random).signal(syscall.SIGHUP) }},
	{"all hosts killed", 1, killAll},
	{"server killed", 3, func(ctx context.Context, d *deployment, random *rand.Rand) { d.crash(ctx, d.server(random), random) }},
	{"server paused", 2, func(ctx context.Context, d *deployment, random *rand.Rand) {
		freeze(ctx, &d.server(random).process, random, 2*time.Second)
	}},
	{"connections to a server", 4, func(ctx context.Context, d *deployment, random *rand.Rand) {
		spoil(ctx, d.server(random).relay, random)
	}},
	{"connections to the platform", 3, func(ctx context.Context, d *deployment, random *rand.Rand) {
		spoil(ctx, d.host(random).platform, random)
	}},
	{"platform spoiled", 3, spoilPlatform},
	{"platform paused", 1, func(ctx context.Context, d *deployment, random *rand.Rand) {
		freeze(ctx, &d.platform, random, 3*time.Second)
	}},
	{"route moved", 1, func(_ context.Context, d *deployment, _ *rand.Rand) { _, _ = d.moveBookings() }},
	{"version declared", 2, func(_ context.Context, d *deployment, random *rand.Rand) { _, _ = d.declare(anAdapter(random)) }},
}

func anAdapter(random *rand.Rand) string {
	return fmt.Sprintf("a%d", 1+random.IntN(adapters))
}

func (d *deployment) host(random *rand.Rand) *host { return d.hosts[random.IntN(len(d.hosts))] }

func (d *deployment) server(random *rand.Rand) *server { return d.servers[random.IntN(len(d.servers))] }

// between returns a random duration.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}

// wait waits for a time, or until the chaos ends.
func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

func restart(ctx context.Context, h *host, signal syscall.Signal, random *rand.Rand) {
	pause := between(random, 100*time.Millisecond, 1500*time.Millisecond)
	if !h.busy.TryLock() {
		return
	}
	defer h.busy.Unlock()
	h.end(signal)
	wait(ctx, pause)
	must(h.start())
}

func killAll(ctx context.Context, d *deployment, random *rand.Rand) {
	var group sync.WaitGroup
	for _, h := range d.hosts {
		source := rand.New(rand.NewPCG(random.Uint64(), 1))
		group.Go(func() { restart(ctx, h, syscall.SIGKILL, source) })
	}
	group.Wait()
}

func freeze(ctx context.Context, p *process, random *rand.Rand, longest time.Duration) {
	pause := between(random, 200*time.Millisecond, longest)
	if !p.busy.TryLock() {
		return
	}
	defer p.busy.Unlock()
	p.signal(syscall.SIGSTOP)
	wait(ctx, pause)
	p.signal(syscall.SIGCONT)
}

// crash kills a server, which comes back empty. Its row lapses if it is away for
// longer than three heartbeats.
func (d *deployment) crash(ctx context.Context, s *server, random *rand.Rand) {
	pause := between(random, 50*time.Millisecond, 2500*time.Millisecond)
	if !s.busy.TryLock() {
		return
	}
	defer s.busy.Unlock()
	s.end(syscall.SIGKILL)
	wait(ctx, min(pause, rowLapse))
	if pause > rowLapse {
		must(d.setRow("servers", s.id, nil))
		wait(ctx, pause-rowLapse)
	}
	s.mutex.Lock()
	s.empty = true
	s.mutex.Unlock()
	must(d.launch(s))
}

// rowLapse is the silence after which the platform removes the row of a server.
const rowLapse = 1500 * time.Millisecond

// spoil spoils the connections through a relay.
func spoil(ctx context.Context, r *relay.Relay, random *rand.Rand) {
	pause := between(random, 200*time.Millisecond, 3*time.Second)
	switch random.IntN(5) {
	case 0:
		r.BlackholeOpen()
	case 1:
		r.ResetOpen()
	case 2:
		r.SetDelay(between(random, 20*time.Millisecond, 300*time.Millisecond))
		wait(ctx, pause)
		r.SetDelay(0)
	case 3:
		direction := relay.Direction(random.IntN(2))
		r.SetDropping(direction, true)
		wait(ctx, pause)
		r.SetDropping(direction, false)
	default:
		r.SetPartition(relay.AllConnections)
		wait(ctx, pause)
		r.SetPartition(nil)
	}
}

// spoilPlatform makes the store misbehave.
func spoilPlatform(ctx context.Context, d *deployment, random *rand.Rand) {
	pause := between(random, 300*time.Millisecond, 4*time.Second)
	var spoiled standin.ServerFaults
	switch random.IntN(5) {
	case 0:
		spoiled.Table.Unavailable = true
	case 1:
		spoiled.Table.LostReply = 0.5
	case 2:
		spoiled.Table.LateWrite, spoiled.Table.LateDelay = 0.4, between(random, time.Second, 4*time.Second)
	case 3:
		spoiled.Table.Delay = between(random, 50*time.Millisecond, 800*time.Millisecond)
	default:
		spoiled.Table.ForgetHistory = true
	}
	if !d.platform.busy.TryLock() {
		return
	}
	defer d.platform.busy.Unlock()
	must(d.put(standin.PathFaults, spoiled))
	wait(ctx, pause)
	must(d.put(standin.PathFaults, standin.ServerFaults{}))
}

// chaos strikes faults at random times until ctx ends, and returns when the last
// one is over. It counts them by name.
func chaos(ctx context.Context, d *deployment, random *rand.Rand) map[string]int {
	counts := make(map[string]int)
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	var group sync.WaitGroup
	for ctx.Err() == nil {
		at := random.IntN(total)
		var drawn fault
		for _, drawn = range faults {
			if at -= drawn.weight; at < 0 {
				break
			}
		}
		counts[drawn.name]++
		source := rand.New(rand.NewPCG(random.Uint64(), 2))
		group.Go(func() { drawn.strike(ctx, d, source) })
		wait(ctx, between(random, 100*time.Millisecond, 900*time.Millisecond))
	}
	group.Wait()
	return counts
}

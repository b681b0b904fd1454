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

// A fault is one kind of disturbance of the deployment.
type fault struct {
	name string
	// weight is the relative frequency of the fault among all faults.
	weight int
	// inject returns when the disturbance is over.
	inject func(ctx context.Context, d *deployment, random *rand.Rand)
}

// faults lists the faults that a run chooses from. Several may last at the same time.
var faults = []fault{
	{"host killed", 3, func(ctx context.Context, d *deployment, random *rand.Rand) {
		restartHost(ctx, d.randomHost(random), syscall.SIGKILL, random)
	}},
	{"host stopped", 2, func(ctx context.Context, d *deployment, random *rand.Rand) {
		restartHost(ctx, d.randomHost(random), syscall.SIGTERM, random)
	}},
	{"host paused", 3, func(ctx context.Context, d *deployment, random *rand.Rand) {
		freezeProcess(ctx, &d.randomHost(random).process, random, 4*time.Second)
	}},
	{"host reloads", 1, func(_ context.Context, d *deployment, random *rand.Rand) { d.randomHost(random).signal(syscall.SIGHUP) }},
	{"all hosts killed", 1, killAllHosts},
	{"server killed", 3, func(ctx context.Context, d *deployment, random *rand.Rand) {
		d.crashServer(ctx, d.randomServer(random), random)
	}},
	{"server paused", 2, func(ctx context.Context, d *deployment, random *rand.Rand) {
		freezeProcess(ctx, &d.randomServer(random).process, random, 2*time.Second)
	}},
	{"connections to a server", 4, func(ctx context.Context, d *deployment, random *rand.Rand) {
		disturbConnections(ctx, d.randomServer(random).relay, random)
	}},
	{"connections to the platform", 3, func(ctx context.Context, d *deployment, random *rand.Rand) {
		disturbConnections(ctx, d.randomHost(random).platformRelay, random)
	}},
	{"platform spoiled", 3, disturbPlatform},
	{"platform paused", 1, func(ctx context.Context, d *deployment, random *rand.Rand) {
		freezeProcess(ctx, &d.platform, random, 3*time.Second)
	}},
	{"store restored", 2, restoreStore},
	{"route moved", 1, func(_ context.Context, d *deployment, _ *rand.Rand) { _, _ = d.switchBookingTarget() }},
	{"version declared", 2, func(_ context.Context, d *deployment, random *rand.Rand) {
		_, _ = d.declareVersion(randomAdapter(random))
	}},
}

// randomAdapter returns the name of a random adapter.
func randomAdapter(random *rand.Rand) string {
	return fmt.Sprintf("a%d", 1+random.IntN(adapterCount))
}

func (d *deployment) randomHost(random *rand.Rand) *host { return d.hosts[random.IntN(len(d.hosts))] }

func (d *deployment) randomServer(random *rand.Rand) *server {
	return d.servers[random.IntN(len(d.servers))]
}

// randomDuration returns a random duration between least and most, both included.
func randomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}

// sleep waits for the duration, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// restartHost ends a host with the signal and starts it again after a random pause.
// It does nothing while another fault stops or pauses the host.
func restartHost(ctx context.Context, h *host, signal syscall.Signal, random *rand.Rand) {
	pause := randomDuration(random, 100*time.Millisecond, 1500*time.Millisecond)
	if !h.faultMutex.TryLock() {
		return
	}
	defer h.faultMutex.Unlock()
	h.end(signal)
	sleep(ctx, pause)
	must(h.start())
}

// killAllHosts kills and restarts all hosts at once.
func killAllHosts(ctx context.Context, d *deployment, random *rand.Rand) {
	var group sync.WaitGroup
	for _, h := range d.hosts {
		source := rand.New(rand.NewPCG(random.Uint64(), 1))
		group.Go(func() { restartHost(ctx, h, syscall.SIGKILL, source) })
	}
	group.Wait()
}

// freezeProcess pauses a process for a random time. It does nothing while another
// fault stops or pauses the process.
func freezeProcess(ctx context.Context, p *process, random *rand.Rand, longest time.Duration) {
	pause := randomDuration(random, 200*time.Millisecond, longest)
	if !p.faultMutex.TryLock() {
		return
	}
	defer p.faultMutex.Unlock()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, pause)
	p.signal(syscall.SIGCONT)
}

// crashServer kills a server and starts it again without its base model. If it is down
// for longer than rowExpiry, its row is deleted.
func (d *deployment) crashServer(ctx context.Context, s *server, random *rand.Rand) {
	pause := randomDuration(random, 50*time.Millisecond, 2500*time.Millisecond)
	if !s.faultMutex.TryLock() {
		return
	}
	defer s.faultMutex.Unlock()
	s.end(syscall.SIGKILL)
	sleep(ctx, min(pause, rowExpiry))
	if pause > rowExpiry {
		must(d.setRow("servers", s.id, nil))
		sleep(ctx, pause-rowExpiry)
	}
	s.mutex.Lock()
	s.startsWithoutModel = true
	s.mutex.Unlock()
	must(d.startServer(s))
}

// rowExpiry is the time without a heartbeat after which the platform removes the row
// of a server: three heartbeat intervals.
const rowExpiry = 1500 * time.Millisecond

// disturbConnections injects a random fault into the connections through a relay.
func disturbConnections(ctx context.Context, r *relay.Relay, random *rand.Rand) {
	pause := randomDuration(random, 200*time.Millisecond, 3*time.Second)
	switch random.IntN(5) {
	case 0:
		r.BlackholeOpenConnections()
	case 1:
		r.ResetOpenConnections()
	case 2:
		r.SetDelay(randomDuration(random, 20*time.Millisecond, 300*time.Millisecond))
		sleep(ctx, pause)
		r.SetDelay(0)
	case 3:
		direction := relay.Direction(random.IntN(2))
		r.SetDropping(direction, true)
		sleep(ctx, pause)
		r.SetDropping(direction, false)
	default:
		r.SetPartition(relay.AllConnections)
		sleep(ctx, pause)
		r.SetPartition(nil)
	}
}

// disturbPlatform injects a random fault into the platform's store.
func disturbPlatform(ctx context.Context, d *deployment, random *rand.Rand) {
	pause := randomDuration(random, 300*time.Millisecond, 4*time.Second)
	var serverFaults standin.ServerFaults
	switch random.IntN(5) {
	case 0:
		serverFaults.Table.Unavailable = true
	case 1:
		serverFaults.Table.LostReply = 0.5
	case 2:
		serverFaults.Table.LateWrite, serverFaults.Table.LateDelay = 0.4, randomDuration(random, time.Second, 4*time.Second)
	case 3:
		serverFaults.Table.Delay = randomDuration(random, 50*time.Millisecond, 800*time.Millisecond)
	default:
		serverFaults.Table.ForgetHistory = true
	}
	if !d.platform.faultMutex.TryLock() {
		return
	}
	defer d.platform.faultMutex.Unlock()
	must(d.putJSON(standin.PathFaults, serverFaults))
	sleep(ctx, pause)
	must(d.putJSON(standin.PathFaults, standin.ServerFaults{}))
}

// restoreStore takes the platform's store away for a moment and brings it back from a copy some
// seconds old. The operator and the servers write their rows again at different moments after
// that.
func restoreStore(ctx context.Context, d *deployment, random *rand.Rand) {
	age := randomDuration(random, 500*time.Millisecond, 12*time.Second)
	absence := randomDuration(random, 100*time.Millisecond, 3*time.Second)
	if !d.platform.faultMutex.TryLock() {
		return
	}
	defer d.platform.faultMutex.Unlock()
	must(d.putJSON(standin.PathFaults, standin.ServerFaults{Table: standin.TableFaults{Unavailable: true, RestoreAge: age}}))
	sleep(ctx, absence)
	must(d.putJSON(standin.PathFaults, standin.ServerFaults{}))
	var group sync.WaitGroup
	pause := randomDuration(random, 0, time.Second)
	group.Go(func() {
		sleep(ctx, pause)
		must(d.rewriteOperatorRows())
	})
	for _, s := range d.servers {
		pause := randomDuration(random, 0, 1500*time.Millisecond)
		group.Go(func() {
			sleep(ctx, pause)
			// A server that is down or paused writes its row when it is back.
			s.faultMutex.Lock()
			defer s.faultMutex.Unlock()
			must(d.writeServerRow(s, "ready"))
		})
	}
	group.Wait()
}

// injectFaults injects random faults at random times until ctx ends, waits until the
// last one is over and returns the number of faults by name.
func injectFaults(ctx context.Context, d *deployment, random *rand.Rand) map[string]int {
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
		group.Go(func() { drawn.inject(ctx, d, source) })
		sleep(ctx, randomDuration(random, 100*time.Millisecond, 900*time.Millisecond))
	}
	group.Wait()
	return counts
}

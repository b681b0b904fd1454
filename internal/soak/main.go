// The command soak runs front hosts as separate processes against stand-ins of the
// platform and the backend servers. It injects random faults that a seed determines
// from outside the front hosts, and checks the promises of the users' pages by what
// callers and backend servers record.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/persimmonmux/persimmonmux/standin/site"
)

// A size is the number of processes in each failure domain.
type size struct {
	Hosts    int `long:"hosts" default:"2" description:"front hosts in each failure domain"`
	Engines  int `long:"engines" default:"2" description:"engines in each failure domain"`
	Services int `long:"services" default:"2" description:"servers of plain services in each failure domain"`
	Callers  int `long:"callers" default:"30" description:"callers at once"`
}

// options are the options of the command line.
type options struct {
	Seed   uint64        `long:"seed" description:"seed of the first run; 0 draws one"`
	Seeds  int           `long:"seeds" default:"1" description:"runs, each with the next seed"`
	Chaos  time.Duration `long:"chaos" default:"10s" description:"length of the faults of a run"`
	Calm   time.Duration `long:"calm" default:"12s" description:"length of the planned work after them"`
	Output string        `long:"output" description:"directory that keeps the logs and records of failed runs"`
	Port   int           `long:"first-port" default:"24000" description:"first port on loopback; runs beside each other need ports 3000 apart, below 32768"`
	size
}

// portCount is the number of ports after which the runs of a command start again at
// the first port.
const portCount = 2500

// lowestEphemeralPort is the first of the ports that Linux gives to connections by default. A
// process of a run cannot listen on such a port while a connection has it.
const lowestEphemeralPort = 32768

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64() >> 32
	}
	failed, err := o.runAll()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// runAll makes the runs and returns the number of runs that broke a promise.
func (o *options) runAll() (failed int, err error) {
	if o.Port+portCount >= lowestEphemeralPort {
		return 0, fmt.Errorf("first port is %d, expected at most %d", o.Port, lowestEphemeralPort-portCount-1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	programs, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(programs) //nolint:errcheck // Temporary files.
	if err := build(programs); err != nil {
		return 0, err
	}
	port := o.Port
	for i := 0; i < o.Seeds && ctx.Err() == nil; i++ {
		seed := o.Seed + uint64(i)
		directory, err := o.directory(seed)
		if err != nil {
			return failed, err
		}
		d := &deployment{directory: directory, programs: programs, nextPort: port}
		broken, summary, err := o.run(ctx, d, seed)
		if port = d.nextPort; port > o.Port+portCount {
			port = o.Port
		}
		if err != nil {
			return failed, fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: %s\n", seed, summary)
		for _, line := range broken {
			fmt.Printf("seed %d: BROKEN %s\n", seed, line)
		}
		if len(broken) > 0 {
			failed++
			fmt.Printf("seed %d: logs and records in %s\n", seed, directory)
			continue
		}
		_ = os.RemoveAll(directory)
	}
	return failed, nil
}

// directory creates the directory for the files of a run and returns its path.
func (o *options) directory(seed uint64) (string, error) {
	if o.Output == "" {
		return os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	}
	directory := filepath.Join(o.Output, fmt.Sprint(seed))
	return directory, os.MkdirAll(directory, 0o700)
}

// run makes one run: overlapping faults, then recovery, then planned work without
// faults. It returns the broken promises and a summary.
func (o *options) run(ctx context.Context, d *deployment, seed uint64) (broken []string, summary string, err error) {
	defer d.close()
	if err := d.start(o.size); err != nil {
		return nil, "", err
	}
	random := rand.New(rand.NewPCG(seed, 0))
	calling, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	c := &callers{hosts: d.hosts, seed: seed, keys: &d.keys}
	c.start(calling, o.Callers)

	faulty, endFaults := context.WithTimeout(ctx, o.Chaos)
	counts := injectFaults(faulty, d, random)
	endFaults()
	missing := d.awaitRecovery(ctx, seed)
	sleep(ctx, settleDuration)

	e := &evidence{}
	calm := span{from: time.Now()}
	e.promises = d.runPlannedWork(ctx, random, o.Calm)
	calm.until = time.Now()
	e.calm = []span{calm}
	stopCalls()
	c.goroutines.Wait()
	e.attempts = c.attempts
	for _, s := range d.servers {
		records, err := site.ReadRecords(s.recordPath)
		if err != nil {
			return nil, "", err
		}
		e.records = append(e.records, records...)
	}
	broken = findBrokenPromises(e)
	if missing != "" {
		broken = append(broken, "recovery: not served "+recoveryTimeout.String()+" after the faults:"+missing)
	}
	return broken, summarize(e, counts), nil
}

// summarize returns the counts of a run as one line.
func summarize(e *evidence, counts map[string]int) string {
	whole, refused, other := 0, 0, 0
	for _, a := range e.attempts {
		switch {
		case a.complete:
			whole++
		case a.isRefused() || a.dialFailed:
			refused++
		default:
			other++
		}
	}
	var list []string
	for name, count := range counts {
		list = append(list, fmt.Sprintf("%s %d", name, count))
	}
	sort.Strings(list)
	return fmt.Sprintf("%d requests, %d answered, %d refused, %d other; %d runs; %d promises of planned work; faults: %s",
		len(e.attempts), whole, refused, other, e.countRuns(), len(e.promises), strings.Join(list, ", "))
}

// must panics on an error of the soak test itself, which makes the run meaningless.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

package quarantine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const testService site.ServiceName = "writers"

// An observation is an end of an engine or, if sound is not empty, an answer that began.
type observation struct {
	after    time.Duration
	engine   int
	suspects [][]string
	sound    []string
}

// ended returns an end with one suspect request for each list of parts.
func ended(after time.Duration, engine int, suspects ...[]string) observation {
	return observation{after: after, engine: engine, suspects: suspects}
}

// began returns an answer that began to a request with the parts.
func began(after time.Duration, parts ...string) observation {
	return observation{after: after, sound: parts}
}

// apply adds the observation to the ledger.
func (o observation) apply(l *ledger, start time.Time) {
	at := start.Add(o.after)
	l.recordSound(testService, slices.Sorted(slices.Values(o.sound)), at)
	for _, suspect := range o.suspects {
		l.recordEnd(testEngine(o.engine), testService, suspect, at)
	}
}

// newTestLedger returns the ledger of the process of a host.
func newTestLedger(host int) *ledger {
	return newLedger(site.Process{Host: hostName(host), Start: 1})
}

// receiveFrom merges what the other ledger has and this one lacks, and reports whether there
// was anything.
func (l *ledger) receiveFrom(other *ledger, now time.Time) bool {
	return l.merge(other.published().missing(l.published().known(), now), now)
}

func testEngine(n int) site.Incarnation {
	return site.Incarnation{ID: site.ServerID(fmt.Sprintf("engine-%d", n)), StartUnixMilli: 1}
}

// blockedTraits returns the traits of each block.
func blockedTraits(blocks []block) [][]string {
	var list [][]string
	for _, b := range blocks {
		list = append(list, b.traits)
	}
	return list
}

// promptTraits returns the traits of a request with the shared parts of a prompt, of which that
// at the place, from 1, is replaced by the given one. Place 0 replaces none.
func promptTraits(parts, place int, replacement string, others ...string) []string {
	var traits []string
	for n := range parts {
		traits = append(traits, fmt.Sprintf("part:%04d", n))
	}
	if place > 0 {
		traits[place-1] = replacement
	}
	return append(traits, others...)
}

// touchTime is how long after the fifth end of an engine hosts may take to refuse the
// requests that cause it.
const touchTime = 4 * time.Second

// A fakeSite stands in for the view, the engines and the other hosts of a Quarantine.
type fakeSite struct {
	view *site.View
	// mutex guards hosts, which has the running process of each host.
	mutex sync.Mutex
	hosts map[string]*Quarantine
	// starts is the number of processes that were started.
	starts int64
	// sent counts the observations in exchanges.
	sent atomic.Int64
	// silent has the hosts that do not reply.
	silent map[string]bool
	// listening means that the engines still accept connections.
	listening bool
}

// startSite starts hosts that exchange reports; the last ones are silent.
func startSite(c *quicktest.C, count, silent int) *fakeSite {
	s := &fakeSite{view: &site.View{Hosts: make(map[string]*site.Host)}, hosts: make(map[string]*Quarantine), silent: make(map[string]bool)}
	for n := range count {
		name := hostName(n)
		s.view.Hosts[name] = &site.Host{Name: name, Address: name}
	}
	for n := range silent {
		s.silent[hostName(count-1-n)] = true
	}
	for n := range count {
		s.start(c, hostName(n))
	}
	return s
}

// start starts the host with the name, in place of an earlier process.
func (s *fakeSite) start(c *quicktest.C, name string) {
	if earlier := s.host(name); earlier != nil {
		c.Assert(earlier.Close(), quicktest.IsNil)
	}
	s.starts++
	q := &Quarantine{Self: name, Start: s.starts, Views: s, Prober: s, Peers: s, Log: zerolog.Nop()}
	s.mutex.Lock()
	s.hosts[name] = q
	s.mutex.Unlock()
	go q.Run(context.Background())
	synctest.Wait()
}

// host returns the running process of a host, or nil.
func (s *fakeSite) host(name string) *Quarantine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.hosts[name]
}

// close closes all hosts.
func (s *fakeSite) close() {
	for _, q := range s.hosts {
		q.Close()
	}
}

func hostName(n int) string { return fmt.Sprintf("host-%d", n) }

func (s *fakeSite) View() *site.View                      { return s.view }
func (s *fakeSite) HasEnded(context.Context, string) bool { return !s.listening }
func (s *fakeSite) end(host, engine int, parts ...string) {
	server := &site.Server{Incarnation: testEngine(engine), Service: testService}
	s.host(hostName(host)).RecordInterruption(context.Background(), server, parts)
}

func (s *fakeSite) ExchangeQuarantine(ctx context.Context, address string, report site.QuarantineReport) (site.QuarantineReport, error) {
	time.Sleep(12 * time.Millisecond)
	if s.silent[address] {
		<-ctx.Done()
		return site.QuarantineReport{}, errors.New("host is silent")
	}
	reply := s.host(address).Receive(report)
	for _, list := range slices.Concat(report.Observations, reply.Observations) {
		s.sent.Add(int64(len(list.Observations)))
	}
	return reply, nil
}

// countBlocking returns the number of hosts that refuse a request with the parts.
func (s *fakeSite) countBlocking(parts ...string) int {
	count := 0
	for _, q := range s.hosts {
		if q.BlockedFor(testService, parts) > 0 {
			count++
		}
	}
	return count
}

// began has a host record that an answer began to a request with the traits.
func (s *fakeSite) began(host int, traits ...string) {
	s.host(hostName(host)).RecordSound(testService, traits)
}

// countingPeers counts the exchanges.
type countingPeers struct{ calls atomic.Int32 }

func (p *countingPeers) ExchangeQuarantine(context.Context, string, site.QuarantineReport) (site.QuarantineReport, error) {
	p.calls.Add(1)
	return site.QuarantineReport{}, nil
}

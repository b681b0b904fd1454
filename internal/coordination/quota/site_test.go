package quota

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/allowance"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	testHosts = 77
	// intraRegionDelay and interRegionDelay are the one-way delays of links.
	intraRegionDelay = 900 * time.Microsecond
	interRegionDelay = 12 * time.Millisecond
	// maxSendDelay is the longest time from a grant to the arrival at an engine.
	maxSendDelay = 100 * time.Millisecond
	// usualShare is the usual demand as a part of the limit.
	usualShare = 0.55
	// minTokens and maxTokens are the sizes of requests.
	minTokens, maxTokens = 800, 5000
	// maxRefusalTime is the longest time that a request waits for an engine that refuses it.
	maxRefusalTime = 2 * time.Second
	// minPatience is the time that a caller needs for another try.
	minPatience = 200 * time.Millisecond
	// warmUpTime is the time before the first request, in which the buckets fill.
	warmUpTime = 3 * time.Second
)

// testTolerance is the tolerance of the users' rule.
var testTolerance = Tolerance{Window: 8 * time.Second, OverShare: 0.1, Slack: 17_000}

var errUnreachable = errors.New("host does not answer")

// A testSite has many hosts joined by links with delays in virtual time, the callers of
// several organisations and a record of what was granted and refused.
type testSite struct {
	t       *testing.T
	random  *rand.Rand
	regions map[string]string
	zones   []string
	hosts   []*testHost
	byName  map[string]*testHost
	weights []float64
	start   time.Time
	work    sync.WaitGroup

	// patience is how long callers of refused requests come back; tries counts their
	// requests.
	patience time.Duration
	tries    atomic.Int64
	// enginesRefuse says that no engine runs any request.
	enginesRefuse atomic.Bool
	// stallEnd is the time after the start until which engines give no turns.
	stallEnd atomic.Int64

	mutex sync.Mutex
	// owners are the hosts that hold the leases of zones.
	owners map[string]testLease
	// isCut reports whether two hosts do not reach each other; nil if all do.
	isCut  func(a, b *testHost) bool
	era    atomic.Uint64
	calls  atomic.Int64
	meters map[site.OrganisationName]*meter
}

// A testLease is the lease of a zone.
type testLease struct {
	host  *testHost
	epoch uint64
	from  time.Time
}

// A testHost is an entry host of a testSite.
type testHost struct {
	site     *testSite
	name     string
	zone     string
	isDead   atomic.Bool
	isFrozen atomic.Bool
	view     atomic.Pointer[site.View]
	process  atomic.Pointer[testProcess]
}

// A testProcess is one process of a testHost.
type testProcess struct {
	limiter *Limiter
	granter *Granter
	cancel  context.CancelFunc
}

func (h *testHost) View() *site.View { return h.view.Load() }

func (h *testHost) Era() table.Era { return table.Era(h.site.era.Load()) }

func (h *testHost) OrderEpoch(zone string) (uint64, bool) {
	h.site.mutex.Lock()
	defer h.site.mutex.Unlock()
	lease := h.site.owners[zone]
	if lease.host != h || h.isDead.Load() || time.Now().Before(lease.from) {
		return 0, false
	}
	return lease.epoch, true
}

func (h *testHost) OrderingZones() []string {
	var zones []string
	for _, zone := range h.site.zones {
		if _, ok := h.OrderEpoch(zone); ok {
			zones = append(zones, zone)
		}
	}
	return zones
}

// GrantQuota calls another host over a link with a delay.
func (h *testHost) GrantQuota(ctx context.Context, address string, request site.QuotaRequest) (site.QuotaReply, error) {
	h.site.calls.Add(1)
	other := h.site.byName[address]
	delay := intraRegionDelay
	if h.site.regions[h.zone] != h.site.regions[other.zone] {
		delay = interRegionDelay
	}
	if !sleep(ctx, delay) || !h.site.isConnected(h, other) || other.isFrozen.Load() {
		<-ctx.Done()
		return site.QuotaReply{}, errUnreachable
	}
	if other.isDead.Load() {
		return site.QuotaReply{}, errUnreachable
	}
	reply := other.process.Load().granter.Grant(request)
	if !sleep(ctx, delay) {
		return site.QuotaReply{}, errUnreachable
	}
	return reply, nil
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *testSite) isConnected(a, b *testHost) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return a == b || s.isCut == nil || !s.isCut(a, b)
}

// newTestSite starts the hosts, of which the first of each zone owns it.
func newTestSite(t *testing.T, organisations []site.Organisation) *testSite {
	s := &testSite{
		t: t, random: rand.New(rand.NewPCG(*seed, 9)), start: time.Now(),
		regions: map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"},
		zones:   []string{"a1", "a2", "a3", "b1", "b2", "b3"},
		byName:  make(map[string]*testHost), owners: make(map[string]testLease), meters: make(map[site.OrganisationName]*meter),
	}
	for i := range testHosts {
		h := &testHost{site: s, name: fmt.Sprintf("host-%02d", i), zone: s.zones[i%len(s.zones)]}
		s.hosts, s.byName[h.name] = append(s.hosts, h), h
		// The hash of the balancer gives some hosts several times the callers of others.
		s.weights = append(s.weights, math.Exp(s.random.NormFloat64()*0.6))
	}
	for i, zone := range s.zones {
		s.owners[zone] = testLease{host: s.hosts[i], epoch: 1}
	}
	for i := range organisations {
		s.meters[organisations[i].Name] = newMeter(organisations[i].Quota)
	}
	s.publish(1, organisations, s.hosts...)
	for _, h := range s.hosts {
		h.run()
	}
	return s
}

// publish gives hosts a view with the present owners.
func (s *testSite) publish(version int64, organisations []site.Organisation, hosts ...*testHost) {
	view := &site.View{Desired: &site.DesiredState{Version: version, Organisations: organisations}, Hosts: make(map[string]*site.Host)}
	for _, h := range s.hosts {
		view.Hosts[h.name] = &site.Host{Name: h.name, Address: h.name, Zone: h.zone, Region: s.regions[h.zone], OwnedZones: make(map[string]uint64)}
	}
	s.mutex.Lock()
	for zone, lease := range s.owners {
		view.Hosts[lease.host.name].OwnedZones[zone] = lease.epoch
	}
	s.mutex.Unlock()
	view.BuildIndex()
	for _, h := range hosts {
		h.view.Store(view)
	}
}

// run starts a process of the host.
func (h *testHost) run() {
	h.isDead.Store(false)
	ctx, cancel := context.WithCancel(context.Background())
	granter := &Granter{Leases: h, Views: h, Regions: h.site.regions, Tolerance: testTolerance}
	limiter := &Limiter{
		Self: h.name, Zone: h.zone, Regions: h.site.regions, Tolerance: testTolerance,
		Views: h, Granter: granter, Peers: h, Log: zerolog.Nop(),
	}
	h.process.Store(&testProcess{limiter: limiter, granter: granter, cancel: cancel})
	h.site.work.Go(func() { _ = limiter.Run(ctx) })
}

// kill ends the process of the host.
func (h *testHost) kill() {
	h.isDead.Store(true)
	h.process.Load().cancel()
}

// moveZone has another host own a zone from the given time on.
func (s *testSite) moveZone(zone string, to *testHost, from time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.owners[zone] = testLease{host: to, epoch: s.owners[zone].epoch + 1, from: from}
}

// close ends all hosts.
func (s *testSite) close() {
	s.work.Wait()
}

// at runs a step at a time after the start.
func (s *testSite) at(after time.Duration, step func()) {
	s.work.Go(func() {
		time.Sleep(time.Until(s.start.Add(after)))
		step()
	})
}

// offer has callers of an organisation send requests until the given time after the start.
// share returns the demand as a part of the limit.
func (s *testSite) offer(organisation site.Organisation, until time.Duration, seed uint64, share func(time.Duration) float64) {
	random := rand.New(rand.NewPCG(seed, 3))
	meanUnits := float64(minTokens+maxTokens) / 2
	if organisation.Quota.Unit == site.QuotaRequests {
		meanUnits = 1
	}
	s.work.Go(func() {
		time.Sleep(warmUpTime)
		for {
			elapsed := time.Since(s.start)
			if elapsed >= until {
				return
			}
			rate := share(elapsed) * organisation.Quota.PerSecond / meanUnits
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			host := s.pickHost(random)
			if host == nil {
				continue
			}
			units := float64(minTokens + random.IntN(maxTokens-minTokens+1))
			if organisation.Quota.Unit == site.QuotaRequests {
				units = 1
			}
			delay := time.Duration(random.Int64N(int64(maxSendDelay)))
			own := rand.New(rand.NewPCG(random.Uint64(), seed))
			s.work.Go(func() { s.request(host, organisation.Name, units, delay, own) })
		}
	})
}

// request sends one request to a host and records what becomes of it. A refused caller that
// has patience left comes back at another host, as the refusal tells, but waits at most a
// third of the time that it has.
func (s *testSite) request(host *testHost, name site.OrganisationName, units float64, delay time.Duration, random *rand.Rand) {
	giveUp := time.Now().Add(s.patience)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		limiter := host.process.Load().limiter
		charge, err := limiter.Take(ctx, s.organisation(host, name), units)
		cancel()
		if host.isDead.Load() {
			return
		}
		s.tries.Add(1)
		left := time.Until(giveUp)
		if err != nil && left > minPatience {
			time.Sleep(min(verdict.FromError(err).RetryAfter, left/3))
			if next := s.pickHost(random); next != nil {
				host = next
			}
			continue
		}
		if err != nil && s.enginesRefuse.Load() {
			return
		}
		if s.enginesRefuse.Load() {
			time.Sleep(delay + time.Duration(random.Int64N(int64(maxRefusalTime))))
			limiter.Return(charge)
			return
		}
		s.mutex.Lock()
		window := s.meters[name].record(s.start, err == nil, units)
		s.mutex.Unlock()
		if err != nil {
			return
		}
		time.Sleep(max(delay, time.Duration(s.stallEnd.Load())-time.Since(s.start)))
		if _, err = limiter.Renew(context.Background(), s.organisation(host, name), charge); err != nil {
			s.mutex.Lock()
			s.meters[name].revoke(window, units)
			s.mutex.Unlock()
			return
		}
		s.mutex.Lock()
		s.meters[name].send(time.Since(s.start), units)
		s.mutex.Unlock()
		return
	}
}

// organisation returns the organisation as the host knows it.
func (s *testSite) organisation(host *testHost, name site.OrganisationName) *site.Organisation {
	list := host.View().Desired.Organisations
	return &list[slices.IndexFunc(list, func(o site.Organisation) bool { return o.Name == name })]
}

// pickHost returns the host that the balancer picks for a caller, or nil if it is dead.
func (s *testSite) pickHost(random *rand.Rand) *testHost {
	sum := 0.0
	for _, w := range s.weights {
		sum += w
	}
	at := random.Float64() * sum
	for i, h := range s.hosts {
		if at -= s.weights[i]; at < 0 {
			if h.isDead.Load() || h.isFrozen.Load() {
				return nil
			}
			return h
		}
	}
	return nil
}

// A meter records what one organisation was granted and refused, and compares it with a
// single bucket that has the whole quota and gets the same requests.
type meter struct {
	single *allowance.Bucket
	sends  []sentUnits
	// granted and refused are all units; grantedIn and owedIn are those that were granted,
	// and those that the single bucket grants, in each window after the start.
	granted, refused  float64
	grantedIn, owedIn map[int]float64
}

// sentUnits are the units of a request with the time of its send.
type sentUnits struct {
	at    time.Duration
	units float64
}

func newMeter(q site.Quota) *meter {
	b := allowance.NewEmpty(q.PerSecond, q.Burst, time.Now())
	b.Return(q.Burst, time.Now())
	return &meter{single: b, grantedIn: make(map[int]float64), owedIn: make(map[int]float64)}
}

// record records the outcome of a request and returns the number of its window.
func (m *meter) record(start time.Time, isGranted bool, units float64) int {
	now := time.Now()
	window := int(now.Sub(start) / testTolerance.Window)
	if m.single.Take(units, now) {
		m.owedIn[window] += units
	}
	if !isGranted {
		m.refused += units
		return window
	}
	m.granted += units
	m.grantedIn[window] += units
	return window
}

// revoke records that a request that was granted is refused before its send.
func (m *meter) revoke(window int, units float64) {
	m.granted -= units
	m.grantedIn[window] -= units
	m.refused += units
}

func (m *meter) send(at time.Duration, units float64) {
	m.sends = append(m.sends, sentUnits{at: at, units: units})
}

// worstWindow returns the most units sent in a window that begins after the given time.
func (m *meter) worstWindow(window, after time.Duration) (units float64, begin time.Duration) {
	slices.SortFunc(m.sends, func(a, b sentUnits) int { return cmp.Compare(a.at, b.at) })
	sum, first := 0.0, 0
	for _, last := range m.sends {
		if last.at < after {
			first++
			continue
		}
		sum += last.units
		for last.at-m.sends[first].at > window {
			sum -= m.sends[first].units
			first++
		}
		if sum > units {
			units, begin = sum, m.sends[first].at
		}
	}
	return units, begin
}

// lost returns the owed units and those of them that were not granted, summed over windows.
func (m *meter) lost() (lost, owed float64) {
	for window, units := range m.owedIn {
		owed += units
		lost += max(units-m.grantedIn[window], 0)
	}
	return lost, owed
}

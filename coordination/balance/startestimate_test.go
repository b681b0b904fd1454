package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const plainService site.ServiceName = "ledger"

// newPlainSite returns the view of a plain service whose servers have the given slots.
func newPlainSite(servers, slots int) *site.View {
	view := &site.View{Servers: make(map[site.ServerID]*site.Server)}
	for n := range servers {
		id := site.ServerID(fmt.Sprintf("server-%d", n))
		view.Servers[id] = &site.Server{
			Incarnation: site.Incarnation{ID: id, StartUnixMilli: 1}, Service: plainService, Zone: "east", State: site.Ready, MaxConcurrency: slots,
		}
	}
	view.BuildIndex()
	return view
}

func newPlainBalancer(view *site.View) *Balancer {
	return &Balancer{Zone: "east", Regions: map[string]string{"east": "here"}, Views: fixedView{view}, HasOwner: func(string) bool { return true }}
}

// TestOldReportDoesNotDrawAllHosts guards against many hosts that all send to the one server
// which was idle in the last report that they have.
func TestOldReportDoesNotDrawAllHosts(t *testing.T) {
	const (
		hosts, servers, slots, rounds = 70, 9, 8, 100
		// maxShare is the largest share of the requests that the server may get. Evenly it
		// would get a ninth.
		maxShare = 0.7
	)
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		view := newPlainSite(servers, slots)
		idle, total := 0, 0
		for range hosts * rounds {
			b := newPlainBalancer(view)
			for id, server := range view.Servers {
				load := &LoadReport{Running: slots, Slots: slots, Slowness: 1}
				if id == "server-0" {
					load.Running = 0
				}
				b.RecordResponse(server, load)
			}
			time.Sleep(time.Second)
			pick, err := b.Choose(ServerRequirements{Service: plainService})
			c.Assert(err, quicktest.IsNil)
			total++
			if pick.Server.ID == "server-0" {
				idle++
			}
		}
		share := float64(idle) / float64(total)
		c.Logf("share %.3f", share)
		c.Check(share <= maxShare, quicktest.IsTrue, quicktest.Commentf("share %.2f", share))
		c.Check(share >= 1.0/servers, quicktest.IsTrue, quicktest.Commentf("share %.2f", share))
	})
}

// TestChoiceIsUnchangedWithoutSlowness guards against another choice on sites whose servers
// state no slowness: the server with the lowest cost gets the request, every time.
func TestChoiceIsUnchangedWithoutSlowness(t *testing.T) {
	c := quicktest.New(t)
	view := newPlainSite(5, 8)
	b := newPlainBalancer(view)
	for id, server := range view.Servers {
		running := 4
		if id == "server-3" {
			running = 3
		}
		b.RecordResponse(server, &LoadReport{Running: running, Slots: 8, Answer: AnswerTime{Delay: time.Second}})
	}
	for range 100 {
		pick, err := b.Choose(ServerRequirements{Service: plainService})
		c.Assert(err, quicktest.IsNil)
		c.Assert(pick.Server.ID, quicktest.Equals, site.ServerID("server-3"))
		b.Done(pick.Server, site.Adapter{}, false)
	}
	c.Check(b.EstimateAccuracies(), quicktest.HasLen, 0)
}

// A replayServer stands in for a server with slots whose speed changes.
type replayServer struct {
	server         *site.Server
	slowness       float64
	running, queue []*replayRequest
}

type replayRequest struct {
	host *Balancer
	pick Pick
	sent time.Time
	left time.Duration
}

// advance lets the server work and returns the requests that are complete.
func (s *replayServer) advance(step time.Duration) []*replayRequest {
	var done []*replayRequest
	s.running = slices.DeleteFunc(s.running, func(r *replayRequest) bool {
		r.left -= time.Duration(float64(step) / s.slowness)
		if r.left <= 0 {
			done = append(done, r)
		}
		return r.left <= 0
	})
	for len(s.queue) > 0 && len(s.running) < s.server.MaxConcurrency {
		s.running, s.queue = append(s.running, s.queue[0]), s.queue[1:]
	}
	return done
}

// A replay is a load on a plain service.
type replay struct {
	// baseSlowness is that of each server, and jitter the deviation of its logarithm, which
	// changes with changeInterval.
	baseSlowness   []float64
	jitter         float64
	changeInterval time.Duration
	// statesSlowness means that the servers state their load and slowness. Hosts can use no
	// report without it.
	statesSlowness bool
	hosts, slots   int
	// interval is the mean time between two requests of all hosts.
	interval, duration time.Duration
}

const (
	replayStep = 2 * time.Millisecond
	// replayWork is the mean time of a request on an idle server at its usual speed.
	replayWork = 50 * time.Millisecond
)

// run sends the load and returns the sorted times of the answers, the number that each server
// gave, and one of the hosts.
func (p *replay) run(c *quicktest.C) ([]time.Duration, []int, *Balancer) {
	random := rand.New(rand.NewPCG(1, 1))
	view := newPlainSite(len(p.baseSlowness), p.slots)
	var servers []*replayServer
	for n := range p.baseSlowness {
		servers = append(servers, &replayServer{server: view.Servers[site.ServerID(fmt.Sprintf("server-%d", n))]})
	}
	var hosts []*Balancer
	for range p.hosts {
		hosts = append(hosts, newPlainBalancer(view))
	}
	var times []time.Duration
	counts := make([]int, len(servers))
	next, changed := time.Now(), time.Time{}
	for end := time.Now().Add(p.duration); time.Now().Before(end); time.Sleep(replayStep) {
		now := time.Now()
		if now.Sub(changed) >= p.changeInterval {
			changed = now
			for n, s := range servers {
				s.slowness = p.baseSlowness[n] * math.Exp(p.jitter*random.NormFloat64())
			}
		}
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() * float64(p.interval))) {
			host := hosts[random.IntN(len(hosts))]
			pick, err := host.Choose(ServerRequirements{Service: plainService})
			c.Assert(err, quicktest.IsNil)
			n := slices.IndexFunc(servers, func(s *replayServer) bool { return s.server == pick.Server })
			work := time.Duration((0.5 + 0.5*random.ExpFloat64()) * float64(replayWork))
			servers[n].queue = append(servers[n].queue, &replayRequest{host: host, pick: pick, sent: now, left: work})
			counts[n]++
		}
		for _, s := range servers {
			for _, r := range s.advance(replayStep) {
				times = append(times, now.Sub(r.sent))
				var load *LoadReport
				if p.statesSlowness {
					load = &LoadReport{Running: len(s.running), Waiting: len(s.queue), Slots: p.slots, Slowness: s.slowness}
					load.Answer = AnswerTime{Estimate: r.pick.Estimate, Delay: now.Sub(r.sent)}
				}
				r.host.RecordResponse(s.server, load)
				r.host.Done(s.server, site.Adapter{}, false)
			}
		}
	}
	slices.Sort(times)
	return times, counts, hosts[0]
}

// TestServersAtQuarterSpeedGetFewRequests guards against even shares of requests for servers
// that need four times as long, and against hosts that follow each change of the speed: the
// answers have to come sooner than with a choice by this host's own requests in flight.
func TestServersAtQuarterSpeedGetFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		load := replay{
			baseSlowness: []float64{1, 1, 1, 1, 1, 1, 4, 4, 4}, jitter: 0.5, changeInterval: 100 * time.Millisecond,
			hosts: 70, slots: 8, interval: 2 * time.Millisecond, duration: 30 * time.Second,
		}
		before, _, _ := load.run(c)
		load.statesSlowness = true
		after, counts, host := load.run(c)
		slow := counts[6] + counts[7] + counts[8]
		c.Logf("median %s, then %s; 90 in 100 %s, then %s; %v requests at the servers, accuracy %+v",
			before[len(before)/2], after[len(after)/2], before[len(before)*9/10], after[len(after)*9/10], counts, host.EstimateAccuracies()[plainService])
		c.Check(after[len(after)/2] <= before[len(before)/2], quicktest.IsTrue)
		c.Check(after[len(after)*9/10] < before[len(before)*9/10]*3/4, quicktest.IsTrue)
		// Evenly they would get a third, in proportion to their speed a ninth.
		c.Check(float64(slow) < float64(len(after))/9, quicktest.IsTrue, quicktest.Commentf("%d of %d", slow, len(after)))
	})
}

// TestRecoveredServerIsUsedAgain guards against a server that gets no requests any more because
// it was slow once: without requests, no answer tells that it has recovered.
func TestRecoveredServerIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newPlainBalancer(newPlainSite(2, 8))
		count := func() int {
			chosen := 0
			for range 1000 {
				pick, err := b.Choose(ServerRequirements{Service: plainService})
				c.Assert(err, quicktest.IsNil)
				if pick.Server.ID == "server-1" {
					chosen++
				}
				b.Done(pick.Server, site.Adapter{}, false)
			}
			return chosen
		}
		view := b.Views.View()
		b.RecordResponse(view.Servers["server-0"], &LoadReport{Slots: 8, Slowness: 1})
		b.RecordResponse(view.Servers["server-1"], &LoadReport{Slots: 8, Slowness: 8})
		c.Check(count() < 20, quicktest.IsTrue)
		time.Sleep(4 * slownessExpiry)
		c.Check(count() > 200, quicktest.IsTrue)
	})
}

// TestFasterCopyIsPreferred guards against requests for an adapter that wait at a slow engine
// although a faster one holds it too, and against further copies on slow engines.
func TestFasterCopyIsPreferred(t *testing.T) {
	c := quicktest.New(t)
	b := newTestBalancer("east", "east", "east", "east")
	want := requirements("a1")
	view := b.Views.View()
	for id, server := range view.Servers {
		load := LoadReport{Slots: 10, Slowness: 1}
		if id == "engine-0" || id == "engine-2" {
			load.Slowness = 4
		}
		b.RecordResponse(server, &load)
	}
	for _, id := range []site.ServerID{"engine-0", "engine-1"} {
		b.UpdateResidency(site.Residency{Server: view.Servers[id].Incarnation, Epoch: 1, Sequence: 1, Adapters: map[site.Adapter]int{want.Adapter: 1}})
	}
	slow := 0
	for range 1000 {
		pick, err := b.Choose(want)
		c.Assert(err, quicktest.IsNil)
		c.Assert(pick.Loaded, quicktest.IsTrue)
		if pick.Server.ID == "engine-0" {
			slow++
		}
		b.Done(pick.Server, want.Adapter, false)
	}
	c.Check(slow < 50, quicktest.IsTrue, quicktest.Commentf("%d", slow))
	c.Check(b.ChooseReplicaTarget(want).ID, quicktest.Equals, site.ServerID("engine-3"))
}

// TestPersistenceIsLearned guards against a choice by the newest speed where it tells only the
// past, and by the average where it lasts.
func TestPersistenceIsLearned(t *testing.T) {
	c := quicktest.New(t)
	var lasting, changing persistence
	for n := range 500 {
		deviation := float64(n%2) - 0.5
		lasting.record(deviation, deviation)
		changing.record(deviation, float64(n/2%2)-0.5)
	}
	c.Check(lasting.share() > 0.9, quicktest.IsTrue, quicktest.Commentf("%v", lasting.share()))
	c.Check(changing.share() < 0.1, quicktest.IsTrue, quicktest.Commentf("%v", changing.share()))
}

// TestAnswerTimesTellPromptsApart guards against estimates that take a long prompt for a slow
// server.
func TestAnswerTimesTellPromptsApart(t *testing.T) {
	c := quicktest.New(t)
	var times answerTimes
	for n := range 200 {
		effort, tokens := 1+float64(n%3)/4, 100*(n%7)
		times.record(effort, float64(tokens), time.Duration(effort*float64(40*time.Millisecond))+time.Duration(tokens)*50*time.Microsecond)
	}
	c.Check(times.usual.Round(time.Millisecond), quicktest.Equals, 40*time.Millisecond)
	c.Check(times.promptShare(800) > 0.95 && times.promptShare(800) < 1.05, quicktest.IsTrue)
}

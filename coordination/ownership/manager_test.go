package ownership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// ownerOf returns the host whose Owner of the engine has a valid lease, or nil.
func (d *deployment) ownerOf(engine fleet.EngineName) *host {
	for _, h := range d.hosts {
		if o, ok := h.manager.Owner(engine); ok && !h.ended.Load() {
			if epoch, valid := h.leases.Valid(LeaseName(engine)); valid && epoch == o.Epoch {
				return h
			}
		}
	}
	return nil
}

// withDeployment runs a test in virtual time on a deployment in which every engine
// has an owner, and checks afterwards that no engine recorded a violation.
func withDeployment(t *testing.T, hosts int, modes []fleet.FencingMode, test func(c *quicktest.C, d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		d := newDeployment(1, Settings{}, modes...)
		for i := range hosts {
			d.addHost(d.startHost(fleet.HostName(fmt.Sprintf("h%d", i))))
		}
		defer func() {
			for _, h := range d.hosts {
				h.kill()
			}
		}()
		advance(10 * time.Second)
		for _, e := range d.catalog {
			c.Assert(d.ownerOf(e.Name), quicktest.IsNotNil)
		}
		test(c, d)
		for _, e := range d.engines {
			e.withLock(func() { c.Check(e.violations, quicktest.HasLen, 0) })
		}
	})
}

// tryGrant requests a grant on engine e0 from all hosts, waits for at most 100 ms at each,
// and releases the grant. It reports whether there was one.
func tryGrant(d *deployment, name fleet.AdapterName, request fleet.RequestID) (fleet.Grant, bool) {
	grantRequest := newGrantRequest(name, request)
	grantRequest.Engine, grantRequest.MaxWait = "e0", 100*time.Millisecond
	for _, h := range d.hosts {
		if h.ended.Load() {
			continue
		}
		if g, err := h.manager.AcquireGrant(context.Background(), grantRequest); err == nil {
			h.manager.Release("e0", []fleet.RequestID{request})
			return g, true
		}
	}
	return fleet.Grant{}, false
}

// TestServiceAfterOwnerStops guards against an engine that gives no grants for longer
// than documented after its owner stops: 1 s after a planned hand-over, 20 s after
// the owner died. It logs the mean and longest gap.
func TestServiceAfterOwnerStops(t *testing.T) {
	for _, test := range []struct {
		name    string
		mode    fleet.FencingMode
		planned bool
		limit   time.Duration
	}{
		{"planned, fencing ignored", fleet.FencingIgnored, true, time.Second},
		{"planned, fencing enforced", fleet.FencingEnforced, true, time.Second},
		{"died, fencing ignored", fleet.FencingIgnored, false, 20 * time.Second},
		{"died, fencing enforced", fleet.FencingEnforced, false, 20 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			withDeployment(t, 3, []fleet.FencingMode{test.mode}, func(c *quicktest.C, d *deployment) {
				d.table.SetFaults(platform.TableFaults{Delay: 10 * time.Millisecond})
				var most, sum time.Duration
				const rounds = 40
				for round := range rounds {
					h := d.ownerOf("e0")
					first, ok := tryGrant(d, "a", "1")
					c.Assert(ok, quicktest.IsTrue)
					advance(time.Duration(round) * 77 * time.Millisecond)
					stopped := time.Now()
					if test.planned {
						h.leaving.Store(true)
						c.Assert(h.manager.HandOverAll(context.Background()), quicktest.IsNil)
					}
					h.kill()
					for {
						if g, ok := tryGrant(d, "a", fleet.RequestID(fmt.Sprint(round))); ok {
							if test.planned {
								c.Assert(g.Instance, quicktest.Equals, first.Instance)
							}
							break
						}
						advance(10 * time.Millisecond)
						c.Assert(time.Since(stopped) < test.limit, quicktest.IsTrue)
					}
					gap := time.Since(stopped)
					most, sum = max(most, gap), sum+gap
					for i, other := range d.hosts {
						if other == h {
							d.replaceHost(i, d.startHost(h.Name))
						}
					}
					advance(20 * time.Second)
				}
				t.Logf("%s: mean %v, longest %v of %d", test.name, sum/rounds, most, rounds)
			})
		})
	}
}

// TestInstanceOfRunningRequestSurvivesOwner guards against the eviction of an
// instance by a new owner while a request still runs on it under a grant of the
// previous owner.
func TestInstanceOfRunningRequestSurvivesOwner(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprintf("planned %v", planned), func(t *testing.T) {
			withDeployment(t, 3, []fleet.FencingMode{fleet.FencingIgnored}, func(c *quicktest.C, d *deployment) {
				owner := d.ownerOf("e0")
				var holder *host
				for _, h := range d.hosts {
					if h != owner {
						holder = h
					}
				}
				grantRequest := newGrantRequest("a", "long")
				grantRequest.Engine, grantRequest.Duration, grantRequest.Holder = "e0", 100*time.Second, holder.Name
				sent := time.Now()
				g, err := holder.holder.AcquireGrant(context.Background(), grantRequest)
				c.Assert(err, quicktest.IsNil)
				c.Assert(d.engines["e0"].run(g, sent), quicktest.IsTrue)
				if planned {
					owner.leaving.Store(true)
					c.Assert(owner.manager.HandOverAll(context.Background()), quicktest.IsNil)
				}
				owner.kill()
				for i := range 60 {
					for _, name := range []fleet.AdapterName{"b", "c", "d", "f"} {
						tryGrant(d, name, fleet.RequestID(fmt.Sprint(name, i)))
					}
					advance(time.Second)
				}
				c.Assert(d.engines["e0"].hasInstance(g.Instance.String()), quicktest.IsTrue)
				c.Assert(d.engines["e0"].unloads > 0, quicktest.IsTrue)
			})
		})
	}
}

// TestOwnerFollowsEngineChange guards against an Owner that keeps the old address of
// an engine, against an engine without an owner after the change, and against
// Owners and leases of engines that were removed.
func TestOwnerFollowsEngineChange(t *testing.T) {
	withDeployment(t, 2, []fleet.FencingMode{fleet.FencingIgnored}, func(c *quicktest.C, d *deployment) {
		before, ok := tryGrant(d, "a", "1")
		c.Assert(ok, quicktest.IsTrue)
		d.mutex.Lock()
		d.catalog[0].Address = "10.0.0.2:80"
		d.mutex.Unlock()
		advance(30 * time.Second)
		after, ok := tryGrant(d, "a", "2")
		c.Assert(ok, quicktest.IsTrue)
		c.Assert(after.Address, quicktest.Equals, "10.0.0.2:80")
		c.Assert(after.Epoch > before.Epoch, quicktest.IsTrue)
		d.mutex.Lock()
		d.catalog = nil
		d.mutex.Unlock()
		advance(30 * time.Second)
		for _, h := range d.hosts {
			c.Assert(h.manager.Summaries(), quicktest.HasLen, 0)
			_, valid := h.leases.Valid(LeaseName("e0"))
			c.Assert(valid, quicktest.IsFalse)
		}
	})
}

// TestCandidateHosts guards against an order of candidates that moves engines of the
// remaining hosts when one host is lost, or that gives hosts unequal shares.
func TestCandidateHosts(t *testing.T) {
	c := quicktest.New(t)
	var hosts []fleet.Host
	for i := range 8 {
		hosts = append(hosts, fleet.Host{Name: fleet.HostName(fmt.Sprintf("h%d", i))})
	}
	first := map[fleet.HostName]int{}
	for i := range 8000 {
		engine := fleet.EngineName(fmt.Sprintf("e%d", i))
		all := CandidateHosts(engine, hosts)
		first[all[0].Name]++
		fewer := CandidateHosts(engine, hosts[1:])
		if all[0].Name != "h0" {
			c.Assert(fewer[0], quicktest.Equals, all[0])
		}
	}
	for _, n := range first {
		c.Assert(n > 850 && n < 1150, quicktest.IsTrue, quicktest.Commentf("%v", first))
	}
}

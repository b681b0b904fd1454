package organisation

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A fakeSource is a view and a store that may have a newer one.
type fakeSource struct {
	view atomic.Pointer[site.View]
	age  atomic.Int64
	// delay is how long a read takes, and err its result. If err is nil, the view becomes
	// newer, unless that is nil.
	delay time.Duration
	err   error
	newer *site.View
	reads atomic.Int64
	// onAge is called before the age is read; it may be nil.
	onAge func()
}

func (s *fakeSource) View() *site.View { return s.view.Load() }

func (s *fakeSource) Age() time.Duration {
	if s.onAge != nil {
		s.onAge()
	}
	return time.Duration(s.age.Load())
}

func (s *fakeSource) Refresh(ctx context.Context) error {
	s.reads.Add(1)
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.err != nil {
		return s.err
	}
	s.age.Store(0)
	if s.newer != nil {
		s.view.Store(s.newer)
	}
	return nil
}

// newView returns a view whose only organisation has the keys.
func newView(version int64, keys ...string) *site.View {
	o := site.Organisation{Name: "o"}
	for _, key := range keys {
		o.Keys = append(o.Keys, site.NewKeyDigest(key))
	}
	view := &site.View{Desired: &site.DesiredState{Version: version, RequiresKeys: true, Organisations: []site.Organisation{o}}}
	view.BuildIndex()
	return view
}

// testDirectory runs a Directory over the source, with the key "known", for one test.
func testDirectory(t *testing.T, s *fakeSource, test func(c *quicktest.C, d *Directory)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		if s.View() == nil {
			s.view.Store(newView(1, "known"))
		}
		d := &Directory{Views: s, Source: s, Log: zerolog.Nop()}
		go d.Run(context.Background())
		test(c, d)
		c.Assert(d.Close(), quicktest.IsNil)
	})
}

// identify returns the organisation of a key, the code of its refusal and how long the
// decision took.
func identify(d *Directory, key string) (organisation *site.Organisation, code verdict.Code, took time.Duration) {
	began := time.Now()
	organisation, err := d.Identify(context.Background(), site.NewKeyDigest(key))
	if failure := verdict.FromError(err); failure != nil {
		code = failure.Code
	}
	return organisation, code, time.Since(began)
}

// TestNewKeyIsAcceptedAtOnce guards against a 401 for a key that a newer desired state has.
func TestNewKeyIsAcceptedAtOnce(t *testing.T) {
	s := &fakeSource{delay: 30 * time.Millisecond, newer: newView(2, "known", "new")}
	testDirectory(t, s, func(c *quicktest.C, d *Directory) {
		organisation, _, took := identify(d, "known")
		c.Check(organisation, quicktest.IsNotNil)
		c.Check(took, quicktest.Equals, time.Duration(0))
		c.Check(s.reads.Load(), quicktest.Equals, int64(0))
		organisation, code, took := identify(d, "new")
		c.Check(organisation, quicktest.IsNotNil, quicktest.Commentf("%s", code))
		c.Check(took, quicktest.Equals, s.delay)
		c.Check(s.reads.Load(), quicktest.Equals, int64(1))
	})
}

// TestUnknownKeysShareReads guards against a flood of unknown keys that costs a call to the
// store each, or that delays every one of its requests.
func TestUnknownKeysShareReads(t *testing.T) {
	s := &fakeSource{delay: 30 * time.Millisecond}
	testDirectory(t, s, func(c *quicktest.C, d *Directory) {
		var group sync.WaitGroup
		for n := range 200 {
			group.Go(func() {
				_, code, took := identify(d, "burst"+strconv.Itoa(n))
				c.Check(code, quicktest.Equals, verdict.CodeUnauthorized)
				c.Check(took <= s.delay, quicktest.IsTrue)
			})
		}
		group.Wait()
		c.Check(s.reads.Load(), quicktest.Equals, int64(1))
		c.Check(d.Refreshes(), quicktest.Equals, int64(1))
		waited := 0
		for n := range 6000 {
			time.Sleep(10 * time.Millisecond)
			s.age.Store(int64(time.Second))
			_, code, took := identify(d, "flood"+strconv.Itoa(n))
			c.Check(code, quicktest.Equals, verdict.CodeUnauthorized)
			if took > 0 {
				waited++
			}
		}
		c.Check(s.reads.Load() <= 8, quicktest.IsTrue, quicktest.Commentf("%d reads in 60 s", s.reads.Load()))
		c.Check(waited <= 8, quicktest.IsTrue, quicktest.Commentf("%d waited", waited))
	})
}

// TestRefusedKeyCausesNoRead guards against a client that sends a wrong key again and again
// and keeps the reads from requests with a new key.
func TestRefusedKeyCausesNoRead(t *testing.T) {
	s := &fakeSource{delay: 30 * time.Millisecond}
	testDirectory(t, s, func(c *quicktest.C, d *Directory) {
		identify(d, "wrong")
		for range 20 {
			time.Sleep(2 * time.Second)
			_, code, took := identify(d, "wrong")
			c.Check(code, quicktest.Equals, verdict.CodeUnauthorized)
			c.Check(took, quicktest.Equals, time.Duration(0))
		}
		c.Check(s.reads.Load(), quicktest.Equals, int64(1))
		s.newer = newView(2, "known", "new")
		organisation, _, _ := identify(d, "new")
		c.Check(organisation, quicktest.IsNotNil)
		// A new version may have the key, so that it is looked up again.
		time.Sleep(minRefreshInterval)
		s.newer = newView(3, "known", "new", "wrong")
		organisation, _, _ = identify(d, "wrong")
		c.Check(organisation, quicktest.IsNotNil)
	})
}

// TestNewVersionDuringFloodKeepsReadsFrequent guards against reads that become rare although
// each finds a newer desired state, because requests with unknown keys arrive meanwhile.
func TestNewVersionDuringFloodKeepsReadsFrequent(t *testing.T) {
	s := &fakeSource{delay: 30 * time.Millisecond}
	testDirectory(t, s, func(c *quicktest.C, d *Directory) {
		for n := range 5 {
			go identify(d, "first"+strconv.Itoa(n))
			synctest.Wait()
			// The view has the new version before the result of the read is handled.
			s.view.Store(newView(int64(n)+2, "known"))
			identify(d, "meanwhile"+strconv.Itoa(n))
			time.Sleep(minRefreshInterval)
		}
		c.Check(s.reads.Load(), quicktest.Equals, int64(5))
	})
}

// TestSameVersionWithOtherKeys guards against a key that is not looked up because it was
// refused under another desired state with the same version.
func TestSameVersionWithOtherKeys(t *testing.T) {
	s := &fakeSource{}
	testDirectory(t, s, func(c *quicktest.C, d *Directory) {
		identify(d, "new")
		time.Sleep(minRefreshInterval)
		s.view.Store(newView(1, "known", "other"))
		s.newer = newView(1, "known", "other", "new")
		organisation, _, _ := identify(d, "new")
		c.Check(organisation, quicktest.IsNotNil)
	})
}

// TestReadsBecomeFrequentAgain guards against reads that stay rare long after a flood of
// unknown keys.
func TestReadsBecomeFrequentAgain(t *testing.T) {
	s := &fakeSource{}
	testDirectory(t, s, func(c *quicktest.C, d *Directory) {
		for n := range 300 {
			identify(d, strconv.Itoa(n))
			time.Sleep(time.Second)
		}
		time.Sleep(2*maxRefreshInterval + time.Second)
		before := s.reads.Load()
		identify(d, "first")
		time.Sleep(minRefreshInterval)
		identify(d, "second")
		c.Check(s.reads.Load()-before, quicktest.Equals, int64(2))
	})
}

// TestUndecidedKey guards against a 401 from a host that cannot know whether a key is valid
// or needed, and against one that refuses to say 401 although the owner that it follows is up to date.
func TestUndecidedKey(t *testing.T) {
	for _, test := range []struct {
		name string
		age  time.Duration
		code verdict.Code
	}{
		{"turned away by the store, follows an owner", maxRefusalAge, verdict.CodeUnauthorized},
		{"cut off", maxRefusalAge + time.Millisecond, verdict.CodeTableUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &fakeSource{err: errors.New("refused")}
			s.age.Store(int64(test.age))
			testDirectory(t, s, func(c *quicktest.C, d *Directory) {
				for range 2 {
					_, code, _ := identify(d, "new")
					c.Check(code, quicktest.Equals, test.code)
				}
				c.Check(d.RefuseMissing().Code, quicktest.Equals, test.code)
				organisation, _, _ := identify(d, "known")
				c.Check(organisation, quicktest.IsNotNil)
			})
		})
	}
}

// TestViewArrivesDuringDecision guards against a 401 that goes by an old view and by the age
// of the one that has replaced it.
func TestViewArrivesDuringDecision(t *testing.T) {
	s := &fakeSource{err: errors.New("refused")}
	s.age.Store(int64(time.Minute))
	s.onAge = func() {
		s.view.Store(newView(2, "known", "new"))
		s.age.Store(0)
	}
	testDirectory(t, s, func(c *quicktest.C, d *Directory) {
		organisation, code, _ := identify(d, "new")
		c.Check(organisation, quicktest.IsNotNil, quicktest.Commentf("%s", code))
	})
}

// TestSlowStoreDoesNotHoldRequests guards against requests that wait for a silent store, and
// against one read more for each of them.
func TestSlowStoreDoesNotHoldRequests(t *testing.T) {
	s := &fakeSource{delay: time.Hour}
	testDirectory(t, s, func(c *quicktest.C, d *Directory) {
		_, code, took := identify(d, "a")
		c.Check(code, quicktest.Equals, verdict.CodeUnauthorized)
		c.Check(took, quicktest.Equals, refreshWait)
		_, _, took = identify(d, "b")
		c.Check(took, quicktest.Equals, refreshWait)
		c.Check(s.reads.Load(), quicktest.Equals, int64(1))
		time.Sleep(refreshTimeout)
		_, _, took = identify(d, "c")
		c.Check(took, quicktest.Equals, time.Duration(0))
	})
}

// TestFullRingIsDecidedAtOnce guards against requests that wait for a duty that is busy or
// has ended.
func TestFullRingIsDecidedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := &fakeSource{}
		s.view.Store(newView(1, "known"))
		d := &Directory{Views: s, Source: s, Log: zerolog.Nop()}
		d.prepare()
		for range ringCapacity {
			d.queries.Offer(query{})
		}
		_, code, took := identify(d, "a")
		c.Check(code, quicktest.Equals, verdict.CodeUnauthorized)
		c.Check(took, quicktest.Equals, time.Duration(0))
	})
}

// TestNewestStateRequiresNoKeys guards against a 401 under a desired state that has no
// organisations any more.
func TestNewestStateRequiresNoKeys(t *testing.T) {
	newer := &site.View{Desired: &site.DesiredState{Version: 2}}
	newer.BuildIndex()
	s := &fakeSource{newer: newer}
	testDirectory(t, s, func(c *quicktest.C, d *Directory) {
		organisation, code, _ := identify(d, "a")
		c.Check(organisation, quicktest.IsNil)
		c.Check(code, quicktest.Equals, verdict.Code(""))
	})
}

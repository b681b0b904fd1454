package buffering

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// A testHolder is the holder of an intake. It closes the intake when it is interrupted.
type testHolder struct {
	Intake
	interrupted, dropped bool
}

func (h *testHolder) Interrupt() {
	h.interrupted = true
	go h.Close()
}

func (h *testHolder) Drop() { h.dropped = true }

// openHolder returns a holder whose intake is open.
func openHolder(c *quicktest.C, q *Quota) *testHolder {
	c.Helper()
	h := &testHolder{}
	h.Quota, h.Holder = q, h
	c.Assert(h.Open(), quicktest.IsTrue)
	return h
}

// testQuota is a quota with room for four steps, of which requests may take three.
func testQuota() *Quota {
	return &Quota{MaxBytes: 4 * stepBytes, MaxRequestBytes: 3 * stepBytes}
}

// steps returns the size of a request that takes a number of steps from the quota.
func steps(count int) int { return freeBytes + count*stepBytes }

// TestStalledRequestLosesItsRoom guards against callers that keep the room of a host by requests
// that they do not finish, and against a caller that loses its room although its request goes on.
func TestStalledRequestLosesItsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		q := testQuota()
		stalled, lively, other := openHolder(c, q), openHolder(c, q), openHolder(c, q)
		c.Assert(stalled.Reserve(steps(2)), quicktest.IsNil)
		c.Assert(lively.Reserve(steps(1)), quicktest.IsNil)
		time.Sleep(stallTime - time.Millisecond)
		lively.Received(progressBytes)
		c.Check(other.Reserve(steps(1)), quicktest.IsNil)
		synctest.Wait()
		c.Check(stalled.interrupted, quicktest.IsTrue)
		c.Check(lively.interrupted, quicktest.IsFalse)
		c.Check(lively.Complete(), quicktest.IsTrue)
		c.Check(q.TakenByRequests(), quicktest.Equals, int64(2*stepBytes))
	})
}

// TestFewBytesAreNoProgress guards against callers that keep their room by a byte now and then.
func TestFewBytesAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		q := testQuota()
		slow, other := openHolder(c, q), openHolder(c, q)
		c.Assert(slow.Reserve(steps(3)), quicktest.IsNil)
		var senders sync.WaitGroup
		senders.Go(func() {
			for range 20 {
				time.Sleep(stallTime / 10)
				slow.Received(1)
			}
		})
		c.Check(other.Reserve(steps(3)), quicktest.IsNil)
		senders.Wait()
		c.Check(slow.interrupted, quicktest.IsTrue)
	})
}

// TestRequestWithoutNeedIsNotInterrupted guards against the end of a request that stalls while
// nobody needs its room.
func TestRequestWithoutNeedIsNotInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h := openHolder(c, testQuota())
		c.Assert(h.Reserve(steps(3)), quicktest.IsNil)
		time.Sleep(time.Hour)
		c.Check(h.interrupted, quicktest.IsFalse)
		c.Check(h.Complete(), quicktest.IsTrue)
	})
}

// TestWholeRequestKeepsItsRoom guards against requests that lose their room while they run, and
// against callers that wait for such room without end.
func TestWholeRequestKeepsItsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		q := testQuota()
		running, other := openHolder(c, q), openHolder(c, q)
		c.Assert(running.Reserve(steps(3)), quicktest.IsNil)
		c.Assert(running.Complete(), quicktest.IsTrue)
		start := time.Now()
		c.Check(errors.Is(other.Reserve(steps(1)), ErrFull), quicktest.IsTrue)
		c.Check(time.Since(start), quicktest.Equals, maxWait)
		c.Check(running.interrupted, quicktest.IsFalse)
		running.Reset()
		c.Check(other.Reserve(steps(1)), quicktest.IsNil)
	})
}

// TestSmallRequestsGetRoomFirst guards against small requests that wait behind large ones.
func TestSmallRequestsGetRoomFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		q := testQuota()
		running, large, small := openHolder(c, q), openHolder(c, q), openHolder(c, q)
		c.Assert(running.Reserve(steps(3)), quicktest.IsNil)
		c.Assert(running.Complete(), quicktest.IsTrue)
		var order []string
		var waiting sync.WaitGroup
		waiting.Go(func() {
			c.Check(large.Reserve(steps(3)), quicktest.IsNil)
			order = append(order, "large")
		})
		synctest.Wait()
		waiting.Go(func() {
			c.Check(small.Reserve(steps(1)), quicktest.IsNil)
			order = append(order, "small")
			small.Reset()
		})
		synctest.Wait()
		running.Reset()
		waiting.Wait()
		c.Check(order, quicktest.DeepEquals, []string{"small", "large"})
	})
}

// TestRequestsThatWaitForEachOther guards against requests that all hold room and wait for more, so
// that none goes on.
func TestRequestsThatWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		q := testQuota()
		first, second := openHolder(c, q), openHolder(c, q)
		c.Assert(first.Reserve(steps(1)), quicktest.IsNil)
		c.Assert(second.Reserve(steps(2)), quicktest.IsNil)
		start := time.Now()
		var waiting sync.WaitGroup
		waiting.Go(func() { c.Check(first.Reserve(steps(2)), quicktest.IsNil) })
		waiting.Go(func() { c.Check(errors.Is(second.Reserve(steps(3)), ErrFull), quicktest.IsTrue) })
		waiting.Wait()
		c.Check(time.Since(start) < stallTime, quicktest.IsTrue)
	})
}

// TestDeadlockIsNotPaidByOthers guards against the refusal of requests that wait without room, to
// end a deadlock of those that hold it.
func TestDeadlockIsNotPaidByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		q := testQuota()
		first, second, other := openHolder(c, q), openHolder(c, q), openHolder(c, q)
		c.Assert(first.Reserve(steps(1)), quicktest.IsNil)
		c.Assert(second.Reserve(steps(2)), quicktest.IsNil)
		var waiting sync.WaitGroup
		waiting.Go(func() {
			c.Check(other.Reserve(steps(3)), quicktest.IsNil)
			other.Reset()
		})
		synctest.Wait()
		waiting.Go(func() {
			c.Check(first.Reserve(steps(2)), quicktest.IsNil)
			first.Reset()
		})
		synctest.Wait()
		waiting.Go(func() { c.Check(errors.Is(second.Reserve(steps(3)), ErrFull), quicktest.IsTrue) })
		waiting.Wait()
	})
}

// TestRequestThatIsAloneGetsItsRoom guards against a single request that a host with little memory
// refuses although it is within the limits of the desired state.
func TestRequestThatIsAloneGetsItsRoom(t *testing.T) {
	c := quicktest.New(t)
	h := openHolder(c, testQuota())
	c.Check(h.Reserve(steps(1)), quicktest.IsNil)
	c.Check(h.Reserve(steps(100)), quicktest.IsNil)
	h.Reset()
	c.Check(h.Quota.Taken(), quicktest.Equals, int64(0))
}

// TestRequestsLeaveRoomForResponses guards against unfinished requests that end responses.
func TestRequestsLeaveRoomForResponses(t *testing.T) {
	c := quicktest.New(t)
	q := testQuota()
	h, response := openHolder(c, q), Reservation{Quota: q}
	c.Assert(h.Reserve(steps(3)), quicktest.IsNil)
	c.Check(response.reserve(steps(1)), quicktest.IsTrue)
	c.Check(response.reserve(steps(2)), quicktest.IsFalse)
}

// TestConnectionWithoutProgressIsDropped guards against callers that keep others out by connections
// on which they send nothing, and against the end of requests that run.
func TestConnectionWithoutProgressIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		q := &Quota{MaxBytes: stepBytes, MaxIntakes: 3}
		running := openHolder(c, q)
		c.Assert(running.Complete(), quicktest.IsTrue)
		time.Sleep(time.Second)
		idle, active := openHolder(c, q), openHolder(c, q)
		time.Sleep(time.Second)
		active.Received(progressBytes)
		last := openHolder(c, q)
		c.Check([]bool{running.dropped, idle.dropped, active.dropped}, quicktest.DeepEquals, []bool{false, true, false})
		c.Check(active.Complete(), quicktest.IsTrue)
		c.Check(last.Complete(), quicktest.IsTrue)
		c.Check(idle.Complete(), quicktest.IsFalse)
		c.Check(idle.Reserve(steps(1)), quicktest.Equals, ErrInterrupted)
		refused := &testHolder{}
		refused.Quota, refused.Holder = q, refused
		c.Check(refused.Open(), quicktest.IsFalse)
		c.Check(q.Refusals(), quicktest.Equals, int64(2))
		running.Close()
		running.Close()
		c.Check(q.Intakes(), quicktest.Equals, 2)
	})
}

// TestWaitingRequestIsNotDropped guards against the end of a request that waits for room, while
// there are connections without progress, and against the end of a small one for a large one.
func TestWaitingRequestIsNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		q := testQuota()
		q.MaxIntakes = 4
		running, idle := openHolder(c, q), openHolder(c, q)
		c.Assert(running.Reserve(steps(3)), quicktest.IsNil)
		c.Assert(running.Complete(), quicktest.IsTrue)
		time.Sleep(stallTime)
		large, small := openHolder(c, q), openHolder(c, q)
		var reserving sync.WaitGroup
		reserving.Go(func() { c.Check(large.Reserve(steps(2)), quicktest.Equals, ErrInterrupted) })
		reserving.Go(func() { c.Check(small.Reserve(steps(1)), quicktest.IsNil) })
		synctest.Wait()
		openHolder(c, q)
		c.Check([]bool{idle.dropped, large.dropped, small.dropped}, quicktest.DeepEquals, []bool{true, false, false})
		openHolder(c, q)
		c.Check([]bool{large.dropped, small.dropped}, quicktest.DeepEquals, []bool{true, false})
		running.Reset()
		reserving.Wait()
	})
}

// TestRefusedRequestIsDroppedFirst guards against idle connections that are closed for callers who
// were refused and keep their connections.
func TestRefusedRequestIsDroppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		q := testQuota()
		q.MaxIntakes = 3
		running, idle := openHolder(c, q), openHolder(c, q)
		c.Assert(running.Reserve(steps(3)), quicktest.IsNil)
		c.Assert(running.Complete(), quicktest.IsTrue)
		refused := openHolder(c, q)
		c.Check(refused.Reserve(steps(1)), quicktest.Equals, ErrFull)
		openHolder(c, q)
		c.Check([]bool{refused.dropped, idle.dropped}, quicktest.DeepEquals, []bool{true, false})
	})
}

// TestIntakesGiveEverythingBack guards against a quota that shrinks, or a request that waits for
// good, when many take, wait, lose and return at the same time.
func TestIntakesGiveEverythingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		q := testQuota()
		q.MaxIntakes = 20
		var group sync.WaitGroup
		for n := range 30 {
			group.Go(func() {
				for round := range 50 {
					h := &testHolder{}
					h.Quota, h.Holder = q, h
					if !h.Open() {
						time.Sleep(time.Millisecond)
						continue
					}
					for size := 1; size < 5 && h.Reserve(steps(size)) == nil; size++ {
						h.Received(progressBytes)
						time.Sleep(time.Duration((n*round)%7) * stallTime / 4)
					}
					if h.Complete() {
						time.Sleep(time.Millisecond)
					}
					h.Reset()
					h.Close()
				}
			})
		}
		group.Wait()
		synctest.Wait()
		c.Check([]int64{q.Taken(), q.TakenByRequests(), q.withdrawnBytes, int64(q.Intakes())}, quicktest.DeepEquals, []int64{0, 0, 0, 0})
		c.Check(q.receiving.Len(), quicktest.Equals, 0)
		c.Check(q.waiting, quicktest.HasLen, 0)
	})
}

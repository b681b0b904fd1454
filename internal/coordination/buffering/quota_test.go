package buffering

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/frankban/quicktest"
)

// TestQuotaBoundsAllBuffers guards against buffers that together hold more than the quota, and
// against a small buffer that is refused because large ones have used it up.
func TestQuotaBoundsAllBuffers(t *testing.T) {
	c := quicktest.New(t)
	q := &Quota{MaxBytes: 4 * stepBytes}
	large, other, small := Reservation{Quota: q}, Reservation{Quota: q}, Reservation{Quota: q}
	c.Check(large.reserve(freeBytes+3*stepBytes), quicktest.IsTrue)
	c.Check(large.reserve(freeBytes), quicktest.IsTrue)
	c.Check(q.Taken(), quicktest.Equals, int64(3*stepBytes))
	c.Check(other.reserve(freeBytes+2*stepBytes), quicktest.IsFalse)
	c.Check(other.reserve(freeBytes+1), quicktest.IsTrue)
	c.Check(small.reserve(freeBytes), quicktest.IsTrue)
	c.Check(small.reserve(freeBytes+1), quicktest.IsFalse)
	large.Release()
	c.Check(small.reserve(freeBytes+1), quicktest.IsTrue)
	other.Release()
	small.Release()
	small.Release()
	c.Check(q.Taken(), quicktest.Equals, int64(0))
}

// TestQuotaIsGivenBack guards against a quota that shrinks with each buffer, when many take and
// return at the same time.
func TestQuotaIsGivenBack(t *testing.T) {
	c := quicktest.New(t)
	q := &Quota{MaxBytes: 8 * stepBytes}
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 1000 {
				r := Reservation{Quota: q}
				for size := stepBytes; size < 5*stepBytes && r.reserve(size); size += stepBytes {
				}
				r.Release()
			}
		})
	}
	group.Wait()
	c.Check(q.Taken(), quicktest.Equals, int64(0))
	c.Check((&Reservation{}).reserve(1<<30), quicktest.IsTrue)
}

// TestBufferGrowsWithinQuota guards against a buffer that grows beyond what it has reserved, or
// that loses its content.
func TestBufferGrowsWithinQuota(t *testing.T) {
	c := quicktest.New(t)
	q := &Quota{MaxBytes: 2 * stepBytes}
	r := Reservation{Quota: q}
	var buffer []byte
	for ok := true; ok; {
		c.Assert(int64(cap(buffer)) <= freeBytes+q.Taken(), quicktest.IsTrue)
		if buffer, ok = r.Grow(buffer, 100); ok {
			buffer = append(buffer, make([]byte, 100)...)
			buffer[len(buffer)-1] = byte(len(buffer) / 100)
		}
	}
	c.Check(len(buffer) > freeBytes, quicktest.IsTrue)
	for i := 99; i < len(buffer); i += 100 {
		c.Assert(buffer[i], quicktest.Equals, byte((i+1)/100))
	}
}

// TestReadStopsAtItsBounds guards against a body that is taken for whole although more follows,
// and against one that is not although it has ended.
func TestReadStopsAtItsBounds(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range []struct {
		size, maxBytes int
		isWhole        bool
	}{{0, 10, true}, {9, 10, true}, {10, 10, false}, {11, 10, false}, {600, 10000, true}} {
		r := Reservation{Quota: &Quota{}}
		data, isWhole, err := r.Read(strings.NewReader(strings.Repeat("a", test.size)), test.maxBytes)
		c.Check(err, quicktest.IsNil)
		c.Check(isWhole, quicktest.Equals, test.isWhole, quicktest.Commentf("%d of %d", test.size, test.maxBytes))
		c.Check(len(data), quicktest.Equals, min(test.size, test.maxBytes))
	}
	r := Reservation{Quota: &Quota{}}
	data, isWhole, err := r.Read(strings.NewReader(strings.Repeat("a", 2*freeBytes)), 4*freeBytes)
	c.Check(err, quicktest.IsNil)
	c.Check(isWhole, quicktest.IsFalse)
	c.Check(len(data), quicktest.Equals, freeBytes)
	_, _, err = r.Read(iotest.ErrReader(io.ErrUnexpectedEOF), 10)
	c.Check(err, quicktest.Equals, io.ErrUnexpectedEOF)
}

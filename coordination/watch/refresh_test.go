package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestRefresh guards against a read on demand that returns before its changes are in the
// view, makes more than one call or shows a table as younger than its answer.
func TestRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w, s := newTestCache(), newChangingStore()
		r := newTestReader(s, w, false)
		go w.Run(context.Background())
		c.Check(r.Refresh(context.Background(), "op"), quicktest.ErrorIs, errTableUnknown)
		changes, err := s.ReadTable(context.Background(), "op")
		c.Assert(err, quicktest.IsNil)
		c.Assert(w.Apply(context.Background(), changes, StoreSource), quicktest.IsNil)
		version := s.change()
		time.Sleep(10 * time.Second)
		before := s.reads["op"]
		c.Assert(r.Refresh(context.Background(), "op"), quicktest.IsNil)
		c.Check(w.View().Desired.Version, quicktest.Equals, int64(version))
		c.Check(s.reads["op"]-before, quicktest.Equals, 1)
		c.Check(w.TableAge("op"), quicktest.Equals, storeLatency)
		c.Assert(r.Refresh(context.Background(), "op"), quicktest.IsNil)
		c.Check(w.View().Desired.Version, quicktest.Equals, int64(version))
		c.Assert(w.Close(), quicktest.IsNil)
		canceled, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Check(r.Refresh(canceled, "op"), quicktest.ErrorIs, context.DeadlineExceeded)
	})
}

package completion

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A recordingOwner records what it is told, as the owner on this host and as another one.
type recordingOwner struct {
	view *site.View

	mutex sync.Mutex
	told  []string
}

func (r *recordingOwner) View() *site.View { return r.view }

func (r *recordingOwner) UpdateEndedRuns(runs []site.EndedRuns) {
	r.record("self", runs)
}

func (r *recordingOwner) ReportEndedRuns(_ context.Context, address string, runs []site.EndedRuns) error {
	r.record(address, runs)
	return nil
}

func (r *recordingOwner) record(to string, runs []site.EndedRuns) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, run := range runs {
		r.told = append(r.told, fmt.Sprintf("%s: %d of %s ended on %s", to, run.Count, run.Adapter.Name, run.Server))
	}
}

// TestOwnersLearnOfEndsSoon guards against adapters that occupy slots of engines until the
// next report of the host whose requests for them have ended, and against a message for each
// request.
func TestOwnersLearnOfEndsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		owner := &recordingOwner{view: &site.View{Owners: map[string]*site.Host{"here": {Name: "me"}, "there": {Name: "other", Address: "1.2.3.4:5"}}}}
		n := &Notifier{Self: "me", Views: owner, Owner: owner, Peers: owner}
		go n.Run(context.Background())
		end := func(zone, engine, adapter string) {
			n.RecordEnd(&site.Server{Incarnation: site.Incarnation{ID: site.ServerID(engine)}, Zone: zone}, site.Adapter{Model: "m", Name: adapter})
		}
		end("here", "e1", "a")
		end("there", "e2", "a")
		end("there", "e2", "a")
		end("nowhere", "e3", "a")
		time.Sleep(2 * collectDuration)
		c.Assert(n.Close(), quicktest.IsNil)
		slices.Sort(owner.told)
		c.Check(owner.told, quicktest.DeepEquals, []string{"1.2.3.4:5: 2 of a ended on e2", "self: 1 of a ended on e1"})
	})
}

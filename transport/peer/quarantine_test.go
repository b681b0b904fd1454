package peer

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// echoReports is a QuarantineHandler that returns each report to its sender.
type echoReports struct{}

func (echoReports) Receive(report site.QuarantineReport) site.QuarantineReport { return report }

// TestQuarantineReportKeepsEveryField guards against evidence that is lost on the way to
// another host.
func TestQuarantineReportKeepsEveryField(t *testing.T) {
	c := quicktest.New(t)
	server, address := startServer(c, newFakeHandlers(), "127.0.0.1:0")
	client := newClient(c)
	_, err := client.ExchangeQuarantine(context.Background(), address, site.QuarantineReport{})
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(server.Close(), quicktest.IsNil)

	server, address = startServerWith(c, &Server{QuarantineHandler: echoReports{}}, "127.0.0.1:0")
	process := site.Process{Host: "h", Start: 3}
	report := site.QuarantineReport{
		Known: map[site.Process]uint64{process: 5, {Host: "i", Start: 4}: 2},
		Observations: []site.ProcessObservations{{
			Process: process, CompleteThrough: 9,
			Observations: []site.Observation{
				{Number: 7, Age: time.Second, Service: "s", Engine: site.Incarnation{ID: "e", StartUnixMilli: 7}, Traits: []string{"a", "b"}},
				{Number: 8, Age: time.Millisecond, Service: "s", Traits: []string{"c"}},
			},
		}},
	}
	reply, err := client.ExchangeQuarantine(context.Background(), address, report)
	c.Assert(err, quicktest.IsNil)
	c.Assert(reply, quicktest.DeepEquals, report)
	// The server counts a call after it has sent the reply, and its Close waits for that.
	c.Assert(server.Close(), quicktest.IsNil)
	// Both sides count the same bytes by method.
	called, caller := server.Traffic.Counts()["ExchangeQuarantine"], client.Traffic.Counts()["ExchangeQuarantine"]
	c.Check(called.Calls, quicktest.Equals, int64(1))
	c.Check(called.ReceivedBytes > 0, quicktest.IsTrue)
	c.Check(called.SentBytes, quicktest.Equals, called.ReceivedBytes)
	c.Check(caller.Calls >= 2, quicktest.IsTrue)
	c.Check(caller.ReceivedBytes, quicktest.Equals, called.SentBytes)
}

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
	report := site.QuarantineReport{
		Ends: []site.EngineEnd{{
			Engine: site.Incarnation{ID: "e", StartUnixMilli: 7}, Service: "s", Age: time.Second, Suspects: [][]string{{"a", "b"}, {"c"}},
		}},
		SoundTraits: []site.SoundTraits{{Service: "s", Traits: []string{"a", "b"}, Age: time.Millisecond}},
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

package peer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/protocol/peer"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// fixedGrants is a QuotaHandler that records a request and returns a fixed reply.
type fixedGrants struct {
	received chan site.QuotaRequest
	reply    site.QuotaReply
}

func (g *fixedGrants) Grant(request site.QuotaRequest) site.QuotaReply {
	g.received <- request
	return g.reply
}

// TestGrantQuota guards against units that are lost or invented on the way between a host
// and a granter, and against messages that are too large for a call with each request.
func TestGrantQuota(t *testing.T) {
	c := quicktest.New(t)
	server, address := startServer(c, newFakeHandlers(), "127.0.0.1:0")
	client := newClient(c)
	request := site.QuotaRequest{
		Zone: "zone-a", DesiredVersion: 12,
		Asks:    []site.QuotaAsk{{Organisation: "organisation", Units: 2900}},
		Returns: []site.QuotaReturn{{Organisation: "organisation", Units: 800, Age: 5}},
	}
	_, err := client.GrantQuota(context.Background(), address, request)
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(server.Close(), quicktest.IsNil)

	handler := &fixedGrants{received: make(chan site.QuotaRequest, 1)}
	handler.reply = site.QuotaReply{Epoch: 4, DesiredVersion: 12, Answers: []site.QuotaAnswer{{Verdict: site.QuotaRefused, Room: -3.5, RetryAfter: time.Second}}}
	server, address = startServerWith(c, &Server{QuotaHandler: handler}, "127.0.0.1:0")
	reply, err := client.GrantQuota(context.Background(), address, request)
	c.Assert(err, quicktest.IsNil)
	c.Check(reply, quicktest.DeepEquals, handler.reply)
	c.Check(<-handler.received, quicktest.DeepEquals, request)
	c.Assert(server.Close(), quicktest.IsNil)
	called := server.Traffic.Counts()["GrantQuota"]
	c.Check(called.ReceivedBytes < 100 && called.SentBytes < 100, quicktest.IsTrue, quicktest.Commentf("%d bytes received and %d sent", called.ReceivedBytes, called.SentBytes))
}

// returnCounter counts the returns that a granter gets.
type returnCounter struct {
	peer.DRPCPeerClient

	asks, returns int
}

func (r *returnCounter) GrantQuota(_ context.Context, message *peer.QuotaRequest) (*peer.QuotaReply, error) {
	r.asks += len(message.GetAsks())
	r.returns += len(message.GetReturns())
	return nil, io.EOF
}

// TestReturnsAreSentOnce guards against units that come back twice, and are granted beyond the
// quota, because a call is sent again on another connection.
func TestReturnsAreSentOnce(t *testing.T) {
	c := quicktest.New(t)
	granter := &returnCounter{}
	call := quotaCall{message: peer.FromQuotaRequest(site.QuotaRequest{Asks: make([]site.QuotaAsk, 1), Returns: make([]site.QuotaReturn, 1)})}
	for range 2 {
		_, err := call.send(context.Background(), granter)
		c.Check(err, quicktest.Equals, io.EOF)
	}
	c.Check(granter.asks, quicktest.Equals, 2)
	c.Check(granter.returns, quicktest.Equals, 1)
}

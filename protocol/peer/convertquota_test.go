package peer

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestQuotaMessagesAreKept guards against fields that are lost between host and granter.
func TestQuotaMessagesAreKept(t *testing.T) {
	c := quicktest.New(t)
	request := site.QuotaRequest{
		Zone: "a", DesiredVersion: 7,
		Asks:    []site.QuotaAsk{{Organisation: "o", Units: 800}, {Organisation: "p", Units: 1, IsRepeat: true}},
		Returns: []site.QuotaReturn{{Organisation: "o", Units: 5, Age: 6}},
	}
	c.Check(ToQuotaRequest(FromQuotaRequest(request)), quicktest.DeepEquals, request)
	reply := site.QuotaReply{
		Epoch: 3, DesiredVersion: 8,
		Answers: []site.QuotaAnswer{
			{Verdict: site.QuotaGranted, Room: 12},
			{Verdict: site.QuotaRefused, Room: -4, RetryAfter: time.Second},
			{Verdict: site.QuotaUnknown},
		},
	}
	c.Check(ToQuotaReply(FromQuotaReply(reply)), quicktest.DeepEquals, reply)
}

// TestQuotaAmountsOutOfRange guards against a message of another host that fills a bucket
// without bound or has a request granted that takes nothing.
func TestQuotaAmountsOutOfRange(t *testing.T) {
	c := quicktest.New(t)
	for _, units := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		r := ToQuotaRequest(&QuotaRequest{Asks: []*QuotaAsk{{Units: units}}, Returns: []*QuotaReturn{{Units: units}, {Units: 1, AgeNanoseconds: -1}}})
		c.Check(math.IsInf(r.Asks[0].Units, 1), quicktest.IsTrue)
		c.Check(r.Returns, quicktest.HasLen, 0)
	}
	for _, answer := range []*QuotaAnswer{{Verdict: QuotaAnswer_GRANTED, Room: math.NaN()}, {Verdict: QuotaAnswer_REFUSED, RetryAfterNanoseconds: -1}} {
		r := ToQuotaReply(&QuotaReply{Answers: []*QuotaAnswer{answer}})
		c.Check(r.Answers, quicktest.DeepEquals, []site.QuotaAnswer{{}})
	}
}

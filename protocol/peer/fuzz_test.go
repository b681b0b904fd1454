package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// FuzzZoneMessages guards against a message of another host that ends this one.
func FuzzZoneMessages(f *testing.F) {
	for _, message := range []proto.Message{
		FromFollowRequest(site.FollowRequest{Host: "h", InFlight: []site.InFlight{{Server: "e", Adapters: map[site.Adapter]int{{Model: "m", Name: "a"}: 1}}}}),
		FromFollowReply(site.FollowReply{Changes: []site.Changes{{Table: "t", Rows: []site.Row{{Key: "k", Value: []byte("v")}}}}, Sequence: 3}),
		FromPlaceRequest(site.PlaceRequest{Host: "h", PromptTokens: 5}),
		FromQuarantineReport(site.QuarantineReport{Observations: []site.ProcessObservations{{Observations: []site.Observation{{Number: 1, Traits: []string{"a"}}}}}}),
		FromEndedRuns([]site.EndedRuns{{Server: "e", Count: 2}}),
		FromQuotaRequest(site.QuotaRequest{Zone: "z", Asks: []site.QuotaAsk{{Organisation: "o", Units: 800}}, Returns: []site.QuotaReturn{{Organisation: "o", Units: 5}}}),
		FromQuotaReply(site.QuotaReply{Epoch: 3, Answers: []site.QuotaAnswer{{Verdict: site.QuotaRefused, Room: -5, RetryAfter: 7}}}),
	} {
		encoded, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		if m := (&FollowRequest{}); proto.Unmarshal(data, m) == nil {
			ToFollowRequest(m)
		}
		if m := (&FollowReply{}); proto.Unmarshal(data, m) == nil {
			_, _ = ToFollowReply(m)
		}
		if m := (&PlaceRequest{}); proto.Unmarshal(data, m) == nil {
			ToPlaceRequest(m)
		}
		if m := (&QuarantineReport{}); proto.Unmarshal(data, m) == nil {
			ToQuarantineReport(m)
		}
		if m := (&EndedRunsReport{}); proto.Unmarshal(data, m) == nil {
			ToEndedRuns(m)
		}
		if m := (&QuotaRequest{}); proto.Unmarshal(data, m) == nil {
			ToQuotaRequest(m)
		}
		if m := (&QuotaReply{}); proto.Unmarshal(data, m) == nil {
			ToQuotaReply(m)
		}
	})
}

package peer

import (
	"math"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// FromQuotaRequest converts a quota request to its message.
func FromQuotaRequest(r site.QuotaRequest) *QuotaRequest {
	message := &QuotaRequest{Zone: r.Zone, DesiredVersion: r.DesiredVersion}
	for _, ask := range r.Asks {
		message.Asks = append(message.Asks, &QuotaAsk{Organisation: string(ask.Organisation), Units: ask.Units, IsRepeat: ask.IsRepeat})
	}
	for _, returned := range r.Returns {
		message.Returns = append(message.Returns, &QuotaReturn{Organisation: string(returned.Organisation), Units: returned.Units, AgeNanoseconds: int64(returned.Age)})
	}
	return message
}

// ToQuotaRequest converts a message to a quota request. Units out of range become
// infinite in asks, which nothing grants. Returns with values out of range are left out.
func ToQuotaRequest(message *QuotaRequest) site.QuotaRequest {
	r := site.QuotaRequest{Zone: message.GetZone(), DesiredVersion: message.GetDesiredVersion()}
	for _, ask := range message.GetAsks() {
		units := ask.GetUnits()
		if !isAmount(units) {
			units = math.Inf(1)
		}
		r.Asks = append(r.Asks, site.QuotaAsk{Organisation: site.OrganisationName(ask.GetOrganisation()), Units: units, IsRepeat: ask.GetIsRepeat()})
	}
	for _, returned := range message.GetReturns() {
		if isAmount(returned.GetUnits()) && returned.GetAgeNanoseconds() >= 0 {
			r.Returns = append(r.Returns, site.QuotaReturn{Organisation: site.OrganisationName(returned.GetOrganisation()), Units: returned.GetUnits(), Age: time.Duration(returned.GetAgeNanoseconds())})
		}
	}
	return r
}

// FromQuotaReply converts a quota reply to its message.
func FromQuotaReply(r site.QuotaReply) *QuotaReply {
	message := &QuotaReply{Epoch: r.Epoch, DesiredVersion: r.DesiredVersion}
	for _, answer := range r.Answers {
		message.Answers = append(message.Answers, &QuotaAnswer{Verdict: fromQuotaVerdict(answer.Verdict), Room: answer.Room, RetryAfterNanoseconds: int64(answer.RetryAfter)})
	}
	return message
}

// ToQuotaReply converts a message to a quota reply. An answer with values out of range is
// unknown.
func ToQuotaReply(message *QuotaReply) site.QuotaReply {
	r := site.QuotaReply{Epoch: message.GetEpoch(), DesiredVersion: message.GetDesiredVersion()}
	for _, encoded := range message.GetAnswers() {
		var answer site.QuotaAnswer
		if isFinite(encoded.GetRoom()) && encoded.GetRetryAfterNanoseconds() >= 0 {
			answer = site.QuotaAnswer{Verdict: toQuotaVerdict(encoded.GetVerdict()), Room: encoded.GetRoom(), RetryAfter: time.Duration(encoded.GetRetryAfterNanoseconds())}
		}
		r.Answers = append(r.Answers, answer)
	}
	return r
}

func fromQuotaVerdict(v site.QuotaVerdict) QuotaAnswer_Verdict {
	switch v {
	case site.QuotaGranted:
		return QuotaAnswer_GRANTED
	case site.QuotaRefused:
		return QuotaAnswer_REFUSED
	default:
		return QuotaAnswer_UNKNOWN
	}
}

func toQuotaVerdict(v QuotaAnswer_Verdict) site.QuotaVerdict {
	switch v {
	case QuotaAnswer_GRANTED:
		return site.QuotaGranted
	case QuotaAnswer_REFUSED:
		return site.QuotaRefused
	default:
		return site.QuotaUnknown
	}
}

// isAmount reports whether a number of units is finite and not negative.
func isAmount(units float64) bool {
	return units >= 0 && isFinite(units)
}

func isFinite(value float64) bool {
	return !math.IsInf(value, 0) && !math.IsNaN(value)
}

package forward

import (
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A waitStage names what a request waits for. It is logged when the client
// leaves.
type waitStage string

// The stages of a request.
const (
	waitingForServer    waitStage = "server"
	waitingForAdmission waitStage = "turn"
	waitingForLoad      waitStage = "load"
	waitingForResponse  waitStage = "answer"
	waitingForEnd       waitStage = "end"
)

// progress is the state that the attempts of one request share. Only the request's
// goroutine uses it.
type progress struct {
	request *Request
	client  Exchange
	route   *site.Route
	service site.ServiceName
	// organisation is the organisation that the request belongs to; nil on public routes
	// and where no keys are required. charge is what was taken from its quota
	// for the first run.
	organisation *site.Organisation
	charge       site.QuotaCharge
	// urgency orders the request among others.
	urgency site.Urgency
	// At deadline the request gets its final response. A request that has not been
	// sent to any server by unsentDeadline is refused then.
	deadline, unsentDeadline time.Time
	// tried lists the servers that the next attempt does not use. sends counts all
	// sends, and runs the sends that a server may have executed.
	tried []site.ServerID
	sends int
	runs  int
	// adapterMissingAt is the last engine that denied holding the adapter.
	adapterMissingAt site.ServerID
	// waitingFor is what the request waits for now, and server the server that it
	// waits at, if one is chosen.
	waitingFor waitStage
	server     site.ServerID
	// placementWait is the total time spent waiting for loads and admissions.
	placementWait time.Duration
	// refusedPlacements counts the engines that refused to admit the request, or
	// did not do so in time.
	refusedPlacements int
	// limitedBy is the last refusal of a server that states a limit, or nil. turnDenied means
	// that no further server is tried after it.
	limitedBy  *verdict.Error
	turnDenied bool
	// mayHaveRun means that an earlier send may have been executed by its server.
	mayHaveRun bool
	quarantine Quarantine
	// traits are those of the request by which the quarantine knows it. stopWatch ends the
	// watch of the present send for a block.
	traits    []string
	stopWatch func()
	// estimate is when the answer to the present send is expected to begin.
	estimate balance.StartEstimate
	// onFirstEvent is called with the first event of the present send, if it is set.
	onFirstEvent func()
	// order checks the events of a stream over all sends.
	order eventOrder
	// events is the number of events of a stream that the client has received, over all
	// sends. answerBegun means that the request is known not to crash its server.
	events      int
	answerBegun bool
	// hasTooManyEvents means that the client has events that no run made, so that nothing may
	// continue them.
	hasTooManyEvents bool
	// hasBodyBegun means that the client has a part of a body, which no other response continues:
	// that of a failure is no stream on a streaming route either.
	hasBodyBegun bool
}

// begunEvents is the number of events from which an answer counts as begun. A server that
// ends at the first one may have ended because of the request.
const begunEvents = 2

// CheckEvent returns an error if the event does not continue the stream that the client
// has received so far.
func (p *progress) CheckEvent(event site.StreamEvent) error {
	if err := p.order.check(event); err != nil {
		return err
	}
	// Each event has at least one token.
	if limit := p.request.MaxOutputTokens; limit > 0 && p.events >= limit && !event.IsEmpty {
		p.hasTooManyEvents = true
		return errTooManyEvents
	}
	return nil
}

// CheckEnd returns an error if the stream cannot be complete with the events that the client
// has received so far.
func (p *progress) CheckEnd() error {
	return p.order.checkEnd()
}

// EventDelivered counts an event of a stream that the client has received.
func (p *progress) EventDelivered() {
	p.events++
	if p.onFirstEvent != nil {
		p.onFirstEvent()
		p.onFirstEvent = nil
	}
	if p.events >= begunEvents {
		p.recordBegun()
	}
}

// recordBegun records once that the answer has begun.
func (p *progress) recordBegun() {
	if !p.answerBegun {
		p.answerBegun = true
		p.stopWatch()
		p.quarantine.RecordSound(p.service, p.traits)
	}
}

package adapter

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// turnWindow is the span in which prompts are counted. It is shorter than the
	// shortest pause between events that callers accept, 250 ms.
	turnWindow = 220 * time.Millisecond
	// turnTokens is the number of prompt tokens that may be let in within the
	// window. Engines read about 38 in a millisecond, between the tokens that they
	// produce for other requests.
	turnTokens = 5500
	// fullLoad is the part of the slots from which requests wait. It is more than
	// 1, because hosts tell of the ends of their requests half a second late.
	fullLoad = 1.25
	// copyUses is the number of uses from one region after which a copy there
	// costs less than the bytes between the regions.
	copyUses = 8
	// copyLoad is the part of the slots from which a copy elsewhere is worth its load.
	copyLoad = 0.6
)

// An asking is the use of an adapter from a region.
type asking struct {
	adapter site.Adapter
	region  string
}

// A turn is a prompt that was let in.
type turn struct {
	at     time.Time
	tokens int
}

// turn lets a prompt in if the engine can read it without stopping the streams
// that run there for too long. A prompt that is longer than the whole window is
// let in alone.
func (e *engine) turn(tokens int, now time.Time) bool {
	e.forgetTurns(now)
	sum := 0
	for _, t := range e.turns {
		sum += t.tokens
	}
	if sum > 0 && sum+tokens > turnTokens {
		return false
	}
	e.turns = append(e.turns, turn{at: now, tokens: tokens})
	return true
}

func (e *engine) forgetTurns(now time.Time) {
	first := 0
	for first < len(e.turns) && now.Sub(e.turns[first].at) >= turnWindow {
		first++
	}
	e.turns = e.turns[first:]
}

// nextTurn returns the time until the window has more room, if demands wait.
func (e *engine) nextTurn(now time.Time) time.Duration {
	e.forgetTurns(now)
	if len(e.wanted) == 0 || len(e.turns) == 0 {
		return tick
	}
	return min(tick, e.turns[0].at.Add(turnWindow).Sub(now))
}

// full says whether the engine has as many requests as it should.
func (e *engine) full() bool {
	return float64(e.runs.total) >= fullLoad*float64(e.server.MaxConcurrency)
}

// worthCopy counts a use and says whether the adapter is worth another copy: it
// is used often from another region, or its engine has much to do.
func (e *engine) worthCopy(r site.PlaceRequest) bool {
	if r.Adapter.Name == "" {
		return false
	}
	key := asking{adapter: r.Adapter, region: r.Region}
	e.asked[key]++
	uses := e.asked[key]
	if uses%copyUses != 0 {
		return false
	}
	return r.Region != e.region || float64(e.runs.total) >= copyLoad*float64(e.server.MaxConcurrency)
}

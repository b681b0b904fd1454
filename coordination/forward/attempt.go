package forward

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A stage is what a request waits for.
type stage string

// The stages of a request.
const (
	waitsForServer stage = "server"
	waitsForTurn   stage = "turn"
	waitsForLoad   stage = "load"
	waitsForAnswer stage = "answer"
	waitsForEnd    stage = "end"
)

// An attempt is the state of one request. It belongs to the request's goroutine.
type attempt struct {
	request *Request
	client  Exchange
	route   *site.Route
	service site.ServiceName
	// ends is when the request gets its final answer, and unsent is when it is
	// refused if no server has got it.
	ends, unsent time.Time
	tried        []site.ServerID
	sends        int
	ran          int
	missing      site.ServerID
	// waits says what the request waits for, and server where.
	waits  stage
	server site.ServerID
	// loadStall is how long the request has waited for turns.
	loadStall time.Duration
	// refusedTurns counts the engines that were full or could not load.
	refusedTurns int
	// doubt says that an earlier send may have run.
	doubt bool
}

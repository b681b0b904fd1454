// Package admission limits the requests in flight at one entry host, by
// application and as a whole.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// reserve is the part of ConcurrencyLimit, one in reserve, that only applications
	// below their fair share may use. Without it, the application that retries
	// fastest would take every place that becomes free.
	reserve = 8
	// demandWindow is how long an application without requests in flight counts
	// as one that wants a share. It exceeds the default RetryAfter, so that a
	// refused application that retries as told still counts.
	demandWindow = 2 * time.Second
	// defaultRetryAfter is used when RetryAfter is zero.
	defaultRetryAfter = time.Second
)

// A ConfigurationSource has the configuration in force.
type ConfigurationSource interface {
	// Current returns nil when there is no configuration.
	Current() *configuration.Configuration
}

// A Controller admits requests. Its fields are set before use; it may be used by many
// goroutines. It queues nothing: a request is admitted or refused at once.
type Controller struct {
	// Configuration has the limits of applications.
	Configuration ConfigurationSource
	// ConcurrencyLimit is the most requests in flight at this host; zero means no limit.
	ConcurrencyLimit int
	// RetryAfter is the pause that refusals for overload ask for; zero means 1 s.
	RetryAfter time.Duration

	mutex sync.Mutex
	// shares by application; entries are added and dropped by renewWindow.
	shares map[configuration.ApplicationName]*share
	// inFlight is the sum over shares.
	inFlight int
	// wanting is the number of shares that are in flight or asked in the
	// current or the last window.
	wanting int
	// window numbers demandWindow periods; windowStart is when it began.
	window      uint64
	windowStart time.Time
	stopping    bool
	// idle is closed when stopping and nothing is in flight.
	idle chan struct{}
}

// A share is what one application has in flight.
type share struct {
	inFlight int
	// window is the last window in which the application asked.
	window uint64
	// leave is made once for each share, so that Admit does not allocate.
	leave func()
}

// Admit counts the request in, or refuses it with verdict NotRun. The returned
// function must be called exactly once.
func (g *Controller) Admit(r *request.Request) (func(), error) {
	limit := g.applicationLimit(r.Application)
	now := time.Now()
	if !now.Before(r.Deadline) {
		return nil, verdict.NewNotRun(verdict.CodeDeadline, "request %s: its deadline has passed", r.ID)
	}
	g.mutex.Lock()
	leave, code := g.admit(r.Application, limit, now)
	g.mutex.Unlock()
	switch code {
	case "":
		return leave, nil
	case verdict.CodeStopping:
		return nil, g.refuse(code, "host is stopping")
	case verdict.CodeApplicationLimits:
		return nil, g.refuse(code, "application "+string(r.Application)+": its limit of requests in flight is reached")
	default:
		return nil, g.refuse(code, "host has no room for another request of application "+string(r.Application))
	}
}

// StopAdmitting makes Admit refuse new requests. Requests in flight go on.
func (g *Controller) StopAdmitting() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.stopping {
		return
	}
	g.stopping = true
	g.closeWhenIdle()
}

// WaitIdle returns when StopAdmitting was called and nothing is in flight, or when ctx ends.
func (g *Controller) WaitIdle(ctx context.Context) error {
	g.mutex.Lock()
	idle := g.idleChannel()
	g.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of requests in flight.
func (g *Controller) InFlight() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.inFlight
}

func (g *Controller) applicationLimit(name configuration.ApplicationName) int {
	current := g.Configuration.Current()
	if current == nil {
		return 0
	}
	return current.Applications[name].MaxConcurrency
}

func (g *Controller) refuse(code verdict.Code, message string) *verdict.Error {
	pause := g.RetryAfter
	if pause == 0 {
		pause = defaultRetryAfter
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Message: message, RetryAfter: pause}
}

// admit decides under the mutex. An empty code admits.
func (g *Controller) admit(name configuration.ApplicationName, limit int, now time.Time) (func(), verdict.Code) {
	if g.stopping {
		return nil, verdict.CodeStopping
	}
	g.renewWindow(now)
	s := g.shareOf(name)
	if limit > 0 && s.inFlight >= limit {
		return nil, verdict.CodeApplicationLimits
	}
	if !g.hasRoom(s) {
		return nil, verdict.CodeOverloaded
	}
	s.inFlight++
	g.inFlight++
	return s.leave, ""
}

// hasRoom says whether the share may grow by one. The last part of the capacity
// goes to applications below their fair share only.
func (g *Controller) hasRoom(s *share) bool {
	if g.ConcurrencyLimit <= 0 {
		return true
	}
	if g.inFlight >= g.ConcurrencyLimit {
		return false
	}
	if g.inFlight < g.ConcurrencyLimit-g.ConcurrencyLimit/reserve {
		return true
	}
	return s.inFlight < max(1, g.ConcurrencyLimit/g.wanting)
}

// shareOf returns the share of an application and notes that it asked.
func (g *Controller) shareOf(name configuration.ApplicationName) *share {
	s := g.shares[name]
	if s == nil {
		s = &share{}
		s.leave = func() { g.leave(s) }
		g.shares[name] = s
		g.wanting++
	}
	s.window = g.window
	return s
}

// renewWindow drops, once for each window, the shares of applications that have
// nothing in flight and asked neither in the ending window nor in the one before.
func (g *Controller) renewWindow(now time.Time) {
	if g.shares == nil {
		g.shares = map[configuration.ApplicationName]*share{}
		g.windowStart = now
	}
	if now.Sub(g.windowStart) < demandWindow {
		return
	}
	for name, s := range g.shares {
		if s.inFlight == 0 && s.window < g.window {
			delete(g.shares, name)
		}
	}
	g.wanting = len(g.shares)
	g.window++
	g.windowStart = now
}

func (g *Controller) leave(s *share) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s.inFlight--
	g.inFlight--
	g.closeWhenIdle()
}

func (g *Controller) closeWhenIdle() {
	if !g.stopping || g.inFlight > 0 {
		return
	}
	select {
	case <-g.idleChannel():
	default:
		close(g.idle)
	}
}

func (g *Controller) idleChannel() chan struct{} {
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}

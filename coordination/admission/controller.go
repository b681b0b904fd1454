// Package admission limits the requests in flight at one entry host, for each
// application and in total.
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
	// reservedDivisor divides ConcurrencyLimit to give the capacity that only
	// applications below their fair share may use. Without this reserve, the
	// application that retries fastest would take all capacity that becomes free.
	reservedDivisor = 8
	// demandWindow is the length of the windows by which Controller decides
	// whether an application without requests in flight still counts for the fair
	// share. It exceeds defaultRetryAfter, so that an application whose requests
	// were refused and which retries after that delay still counts.
	demandWindow = 2 * time.Second
	// defaultRetryAfter is the delay in refusals if Controller.RetryAfter is zero.
	defaultRetryAfter = time.Second
)

// A ConfigurationSource gives access to the applied configuration.
type ConfigurationSource interface {
	// Current returns the applied configuration, or nil if there is none yet.
	Current() *configuration.Configuration
}

// A Controller admits or refuses requests at once, without a queue. Its exported
// fields are set before first use and not changed afterwards; many goroutines may
// use it.
//
// The fair share of an application is ConcurrencyLimit divided by the number of
// active applications. An application is active while it has requests in flight
// or has sent requests recently (see demandWindow).
type Controller struct {
	// Configuration holds the MaxConcurrency of each application.
	Configuration ConfigurationSource
	// ConcurrencyLimit is the largest number of requests in flight at this host;
	// zero means no limit.
	ConcurrencyLimit int
	// RetryAfter is the delay before a retry that is returned to callers whose
	// request a limit or a stop refused; zero means 1 s.
	RetryAfter time.Duration

	mutex sync.Mutex
	// shares holds the active applications. touchShare adds entries, and
	// advanceWindow deletes them.
	shares map[configuration.ApplicationName]*share
	// inFlight is the number of requests in flight of all applications.
	inFlight int
	// activeShares is the number of entries in shares.
	activeShares int
	// window is the number of the current window, which began at windowStart. It
	// ends with the first request after demandWindow.
	window      uint64
	windowStart time.Time
	isStopping  bool
	// idle is closed when isStopping is set and no request is in flight. It is
	// created on first use.
	idle chan struct{}
}

// A share counts the requests in flight of one application.
type share struct {
	inFlight int
	// lastRequestWindow is the last window in which the application sent a
	// request, whether it was admitted or refused.
	lastRequestWindow uint64
	// release ends one request of the share. It is created once for each share,
	// so that Admit does not allocate memory for each request.
	release func()
}

// Admit counts the request as in flight and returns the function that ends the
// count, which must be called exactly once. Otherwise it returns a *verdict.Error
// with verdict NotRun.
func (c *Controller) Admit(r *request.Request) (func(), error) {
	limit := c.applicationLimit(r.Application)
	now := time.Now()
	if !now.Before(r.Deadline) {
		return nil, verdict.NewNotRun(verdict.CodeDeadline, "request %s: its deadline has passed", r.ID)
	}
	c.mutex.Lock()
	release, code := c.admit(r.Application, limit, now)
	c.mutex.Unlock()
	switch code {
	case "":
		return release, nil
	case verdict.CodeStopping:
		return nil, c.newRefusal(code, "host is stopping")
	case verdict.CodeApplicationLimits:
		return nil, c.newRefusal(code, "application "+string(r.Application)+": its limit of requests in flight is reached")
	default:
		return nil, c.newRefusal(code, "host has no capacity for another request of application "+string(r.Application))
	}
}

// StopAdmitting makes Admit refuse all further requests. Requests in flight are not
// affected. It may be called more than once.
func (c *Controller) StopAdmitting() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isStopping {
		return
	}
	c.isStopping = true
	c.closeIfIdle()
}

// WaitIdle waits until StopAdmitting was called and no request is in flight. It
// returns the error of ctx if ctx ends first.
func (c *Controller) WaitIdle(ctx context.Context) error {
	c.mutex.Lock()
	idle := c.idleChannel()
	c.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of admitted requests that have not ended yet.
func (c *Controller) InFlight() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.inFlight
}

// applicationLimit returns the largest number of requests in flight of an
// application; zero means no limit.
func (c *Controller) applicationLimit(name configuration.ApplicationName) int {
	current := c.Configuration.Current()
	if current == nil {
		return 0
	}
	return current.Applications[name].MaxConcurrency
}

// newRefusal returns an error with verdict NotRun and the delay before a retry.
func (c *Controller) newRefusal(code verdict.Code, message string) *verdict.Error {
	delay := c.RetryAfter
	if delay == 0 {
		delay = defaultRetryAfter
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Message: message, RetryAfter: delay}
}

// admit admits the request and returns the function that ends its count, or returns
// the code of the refusal. limit is the limit of the application. The caller holds
// the mutex.
func (c *Controller) admit(name configuration.ApplicationName, limit int, now time.Time) (func(), verdict.Code) {
	if c.isStopping {
		return nil, verdict.CodeStopping
	}
	c.advanceWindow(now)
	s := c.touchShare(name)
	if limit > 0 && s.inFlight >= limit {
		return nil, verdict.CodeApplicationLimits
	}
	if !c.hasCapacityFor(s) {
		return nil, verdict.CodeOverloaded
	}
	s.inFlight++
	c.inFlight++
	return s.release, ""
}

// hasCapacityFor reports whether one more request of the share may be admitted. The
// reserved part of ConcurrencyLimit is available only to applications below their
// fair share. The caller holds the mutex.
func (c *Controller) hasCapacityFor(s *share) bool {
	if c.ConcurrencyLimit <= 0 {
		return true
	}
	if c.inFlight >= c.ConcurrencyLimit {
		return false
	}
	if c.inFlight < c.ConcurrencyLimit-c.ConcurrencyLimit/reservedDivisor {
		return true
	}
	return s.inFlight < max(1, c.ConcurrencyLimit/c.activeShares)
}

// touchShare returns the share of an application, creates it if necessary, and
// records that the application sent a request in the current window. The caller
// holds the mutex.
func (c *Controller) touchShare(name configuration.ApplicationName) *share {
	s := c.shares[name]
	if s == nil {
		s = &share{}
		s.release = func() { c.release(s) }
		c.shares[name] = s
		c.activeShares++
	}
	s.lastRequestWindow = c.window
	return s
}

// advanceWindow starts a new window if the current one has lasted demandWindow. It
// then deletes the shares of applications without requests in flight that sent
// no request in the window that ends. The caller holds the mutex.
func (c *Controller) advanceWindow(now time.Time) {
	if c.shares == nil {
		c.shares = map[configuration.ApplicationName]*share{}
		c.windowStart = now
	}
	if now.Sub(c.windowStart) < demandWindow {
		return
	}
	for name, s := range c.shares {
		if s.inFlight == 0 && s.lastRequestWindow < c.window {
			delete(c.shares, name)
		}
	}
	c.activeShares = len(c.shares)
	c.window++
	c.windowStart = now
}

// release ends the count of one request of the share.
func (c *Controller) release(s *share) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s.inFlight--
	c.inFlight--
	c.closeIfIdle()
}

// closeIfIdle closes the idle channel, once, if the controller is stopping and no
// request is in flight. The caller holds the mutex.
func (c *Controller) closeIfIdle() {
	if !c.isStopping || c.inFlight > 0 {
		return
	}
	select {
	case <-c.idleChannel():
	default:
		close(c.idle)
	}
}

// idleChannel returns the idle channel and creates it on first use. The caller
// holds the mutex.
func (c *Controller) idleChannel() chan struct{} {
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	return c.idle
}

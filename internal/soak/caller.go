package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/persimmonmux/persimmonmux/standin/site"
)

// A kind is a kind of request. It is also the first segment of the request's path
// and the name of its route.
type kind string

// The kinds of requests: chat and adviser are streams from engines, booking and
// lookup go to plain services. Only chat and lookup may run more than once.
const (
	chat    kind = "chat"
	adviser kind = "adviser"
	booking kind = "booking"
	lookup  kind = "lookup"
)

var kinds = []kind{chat, adviser, booking, lookup}

// runsAtMostOnce reports whether a request of the kind must not run again.
func (k kind) runsAtMostOnce() bool { return k == adviser || k == booking }

// isStreaming reports whether the answer is a stream of events.
func (k kind) isStreaming() bool { return k == chat || k == adviser }

// callerTimeout is how long a caller waits for the end of its answer.
const callerTimeout = 6 * time.Second

// abandonDelay is the time after which a caller that abandons its request closes
// the connection.
const abandonDelay = 60 * time.Millisecond

// eventsPerStream is the number of events of each stream. A faulty engine may send up to
// maxOutputTokens of them, since callers ask for so many tokens.
const (
	eventsPerStream = 12
	maxOutputTokens = 60
)

// An attempt is one request of a caller to a host with what the caller saw of it.
// Only its caller changes it.
type attempt struct {
	id      string
	kind    kind
	host    string
	adapter string
	// organisation is the one that the key belongs to; empty if the key belongs to none.
	organisation string
	key          string
	sent         time.Time
	ended        time.Time
	// status is the HTTP status, 0 if no answer came.
	status int
	// complete reports that a successful answer arrived to its end.
	complete bool
	// mismatch says how a successful answer, or what has arrived of it, differs from the
	// expected one; empty if it does not.
	mismatch string
	// dialFailed reports that no connection to the host was made.
	dialFailed bool
	// abandoned reports that the caller waited for abandonDelay only.
	abandoned bool
	failure   error
}

// isRefused reports whether the status states that the request has not run.
func (a *attempt) isRefused() bool {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// callers sends the load of a run. Its mutex guards attempts.
type callers struct {
	hosts []*host
	seed  uint64
	keys  *keyring

	mutex      sync.Mutex
	attempts   []*attempt
	goroutines sync.WaitGroup
}

// start starts callers that make attempts until ctx ends. Each keeps its connections
// open and sends most requests to the hosts of one zone.
func (c *callers) start(ctx context.Context, count int) {
	for i := range count {
		c.goroutines.Go(func() {
			random := rand.New(rand.NewPCG(c.seed, uint64(i)))
			client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			zone := zoneNames[i%zoneCount]
			for n := 0; ctx.Err() == nil; n++ {
				a := &attempt{
					id:      fmt.Sprintf("%x-%d-%d", c.seed, i, n),
					kind:    kinds[random.IntN(len(kinds))],
					adapter: fmt.Sprintf("a%d", 1+int(float64(adapterCount)*random.Float64()*random.Float64())),
				}
				h := c.chooseHost(random, zone)
				a.host = h.name
				a.organisation, a.key = c.keys.choose(i, n)
				c.makeAttempt(client, h, a, random.IntN(20) == 0)
				c.mutex.Lock()
				c.attempts = append(c.attempts, a)
				c.mutex.Unlock()
				pause := time.Duration(random.IntN(60)) * time.Millisecond
				if a.isRefused() || a.dialFailed {
					pause += 200 * time.Millisecond
				}
				select {
				case <-ctx.Done():
				case <-time.After(pause):
				}
			}
		})
	}
}

// chooseHost returns a random host, usually one of the zone.
func (c *callers) chooseHost(random *rand.Rand, zone string) *host {
	for {
		h := c.hosts[random.IntN(len(c.hosts))]
		if h.zone == zone || random.IntN(10) == 0 {
			return h
		}
	}
}

// makeAttempt makes one attempt and fills in its results. If abandon is set, the
// caller closes the connection after abandonDelay.
func (c *callers) makeAttempt(client *http.Client, h *host, a *attempt, abandon bool) {
	limit := callerTimeout
	if a.abandoned = abandon; abandon {
		limit = abandonDelay
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// net/http does not regard POST as idempotent, so it never sends a request again
	// that the host may have read.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddress+"/"+string(a.kind)+"/x?id="+a.id, bytes.NewReader([]byte(`{"soak":true}`)))
	if err != nil {
		panic(err)
	}
	r.Host = callHost
	r.Header.Set("X-Attempt-Id", a.id)
	r.Header.Set("Authorization", "Token "+a.key)
	// Hosts replace what callers claim to be.
	r.Header.Set("X-Tenant", trustedOrganisation)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	if a.kind.isStreaming() {
		r.Header.Set("X-Model", modelName+"/"+a.adapter)
		r.Header.Set("X-Token-Counts", fmt.Sprintf("100,%d", maxOutputTokens))
	}
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	answer, err := client.Do(r)
	if err != nil {
		a.failure = err
		var operation *net.OpError
		a.dialFailed = errors.As(err, &operation) && operation.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer answer.Body.Close() //nolint:errcheck // The body is read or given up.
	a.status = answer.StatusCode
	body, err := io.ReadAll(answer.Body)
	a.failure = err
	if a.status == http.StatusOK {
		a.complete = err == nil
		a.mismatch = findMismatch(a, answer.Header, string(body))
	}
}

// findMismatch returns how a successful answer differs from the expected one, or an empty
// string if it does not. An answer that is not complete has to be the begin of what a server
// may have sent.
func findMismatch(a *attempt, header http.Header, body string) string {
	if id := header.Get("X-Attempt-Id"); id != a.id {
		return "answer belongs to attempt " + id
	}
	if signature := header.Get("X-Response-Signature"); signature != "signed-"+a.id {
		return fmt.Sprintf("response signature %q does not belong to the attempt", signature)
	}
	want := expectedBody(a, eventsPerStream)
	if a.complete && body == want || !a.complete && strings.HasPrefix(expectedBody(a, maxOutputTokens), body) {
		return ""
	}
	same := 0
	for same < min(len(body), len(want)) && body[same] == want[same] {
		same++
	}
	return fmt.Sprintf("body of %d bytes, complete %t, is not the expected one from byte %d: %.200q", len(body), a.complete, same, body[same:])
}

// expectedBody returns the body of an answer, with a number of events if it is a stream.
func expectedBody(a *attempt, events int) string {
	if !a.kind.isStreaming() {
		return site.Body(a.id)
	}
	var body strings.Builder
	for number := 1; number <= events; number++ {
		body.WriteString(site.Event(a.id, number))
	}
	return body.String()
}

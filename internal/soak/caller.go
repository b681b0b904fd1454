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

// A kind is a kind of request; it is also the first part of its path.
type kind string

// The kinds of requests.
const (
	chat    kind = "chat"
	adviser kind = "adviser"
	booking kind = "booking"
	lookup  kind = "lookup"
)

var kinds = []kind{chat, adviser, booking, lookup}

// once says that a request of the kind may run once at most.
func (k kind) once() bool { return k == adviser || k == booking }

// streams says that the answer is a series of events.
func (k kind) streams() bool { return k == chat || k == adviser }

// maxWait is how long a caller waits.
const maxWait = 6 * time.Second

// leaveAfter is when a caller leaves that does not wait for its answer.
const leaveAfter = 60 * time.Millisecond

// events is the length of a stream.
const events = 12

// An attempt is what a caller did and saw once.
type attempt struct {
	id      string
	kind    kind
	host    string
	adapter string
	sent    time.Time
	ended   time.Time
	// status is 0 if no answer came.
	status int
	// whole says that a success arrived whole.
	whole bool
	// wrong says what was wrong with an answer that looked whole.
	wrong string
	// unreached says that the host did not take the connection.
	unreached bool
	// left says that the caller did not wait for the answer.
	left    bool
	failure error
}

// refused says that the host promised that the request has not run.
func (a *attempt) refused() bool {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// callers make requests until they are told to stop.
type callers struct {
	hosts []*host
	seed  uint64

	mutex    sync.Mutex
	attempts []*attempt
	group    sync.WaitGroup
}

// run starts callers. Each keeps its connections open and goes to the hosts of
// one zone while these answer.
func (c *callers) run(ctx context.Context, count int) {
	for i := range count {
		c.group.Go(func() {
			random := rand.New(rand.NewPCG(c.seed, uint64(i)))
			client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			zone := zoneNames[i%zoneCount]
			for n := 0; ctx.Err() == nil; n++ {
				a := &attempt{
					id:      fmt.Sprintf("%x-%d-%d", c.seed, i, n),
					kind:    kinds[random.IntN(len(kinds))],
					adapter: fmt.Sprintf("a%d", 1+int(float64(adapters)*random.Float64()*random.Float64())),
				}
				h := c.choose(random, zone)
				a.host = h.name
				c.call(client, h, a, random.IntN(20) == 0)
				c.mutex.Lock()
				c.attempts = append(c.attempts, a)
				c.mutex.Unlock()
				pause := time.Duration(random.IntN(60)) * time.Millisecond
				if a.refused() || a.unreached {
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

// choose returns a host of the zone, and sometimes one of another.
func (c *callers) choose(random *rand.Rand, zone string) *host {
	for {
		h := c.hosts[random.IntN(len(c.hosts))]
		if h.zone == zone || random.IntN(10) == 0 {
			return h
		}
	}
}

// call makes one attempt. A caller that leaves does so in the middle.
func (c *callers) call(client *http.Client, h *host, a *attempt, leaves bool) {
	limit := maxWait
	if a.left = leaves; leaves {
		limit = leaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// The path is not idempotent for net/http, so that the library never sends a
	// request again that the host may have read.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+"/"+string(a.kind)+"/x?id="+a.id, bytes.NewReader([]byte(`{"soak":true}`)))
	if err != nil {
		panic(err)
	}
	r.Host = callHost
	r.Header.Set("X-Attempt-Id", a.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(maxWait.Milliseconds()))
	if a.kind.streams() {
		r.Header.Set("X-Model", model+"/"+a.adapter)
		r.Header.Set("X-Token-Counts", "100,60")
	}
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	answer, err := client.Do(r)
	if err != nil {
		a.failure = err
		var operation *net.OpError
		a.unreached = errors.As(err, &operation) && operation.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer answer.Body.Close() //nolint:errcheck // The body is read or given up.
	a.status = answer.StatusCode
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		a.failure = err
		return
	}
	if a.status == http.StatusOK {
		a.whole = true
		a.wrong = misread(a, answer.Header, string(body))
	}
}

// misread returns what is wrong with an answer that looks whole, or nothing.
func misread(a *attempt, header http.Header, body string) string {
	if id := header.Get("X-Attempt-Id"); id != a.id {
		return "answer to " + id
	}
	if receipt := header.Get("X-Response-Signature"); receipt != "signed-"+a.id {
		return fmt.Sprintf("receipt %q", receipt)
	}
	var want strings.Builder
	if !a.kind.streams() {
		want.WriteString(site.Body(a.id))
	}
	for number := 1; a.kind.streams() && number <= events; number++ {
		want.WriteString(site.Event(a.id, number))
	}
	if body != want.String() {
		return fmt.Sprintf("body %q", body)
	}
	return ""
}

package front

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/answer"
)

// The forms that TestUnsoundRefusalDoesNotRunRequestTwice draws, one for each seed.
var (
	formCount = flag.Int("forms", 400, "number of forms of answers that are drawn")
	firstForm = flag.Uint64("first-form", 1, "seed of the first form that is drawn")
)

// longBodyBytes is the size of a request that its server does not read before it answers. The
// connection does not hold it.
const longBodyBytes = 1 << 20

// drawnID is the attempt id of the request that is answered in a drawn form.
const drawnID = "drawn"

// drawnRoutes are the routes of the tests: one for each kind of request.
var drawnRoutes = []string{"/unsafe/x", "/once/x", "/safe/x", "/stream/x"}

// A drawnServer is a set of backend servers of which the first one to get the request "drawn"
// answers in the form, and all answer soundly otherwise.
type drawnServer struct {
	form answer.Form
	// isStream says that sound answers are streams.
	isStream bool

	mutex sync.Mutex
	// used has the connections that have carried a request.
	used map[net.Conn]bool
	// answered says that a request has been answered in the form, and refused that this was a
	// sound refusal. The server has run the request otherwise.
	answered, refused bool
	runs              int
	// otherRuns counts the runs of the other requests by id.
	otherRuns map[string]int
}

// serve answers one request. It implements the function of a backendServer.
func (d *drawnServer) serve(_ int, conn net.Conn, r *http.Request) bool {
	d.mutex.Lock()
	request := answer.NewRequest(r, d.used[conn])
	d.used[conn] = true
	isDrawn := request.ID == drawnID
	inForm := isDrawn && !d.answered
	if inForm {
		d.answered, d.refused = true, d.form.IsRefusal(request)
	}
	switch {
	case !isDrawn:
		d.otherRuns[request.ID]++
	case !inForm || !d.refused:
		d.runs++
	}
	d.mutex.Unlock()
	if inForm {
		return d.form.Write(conn, request)
	}
	if d.isStream {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		return stream(conn, r, last+1, 3, false)
	}
	return success(conn, r, "answer")
}

// serveEarly answers the drawn request before its body is read, if the form says so. It implements
// answerEarly of a backendServer.
func (d *drawnServer) serveEarly(conn net.Conn, r *http.Request) bool {
	d.mutex.Lock()
	request := answer.NewRequest(r, d.used[conn])
	isEarly := d.form.IsEarly() && request.ID == drawnID && !d.answered
	if isEarly {
		d.used[conn], d.answered = true, true
		d.runs++
	}
	d.mutex.Unlock()
	if isEarly {
		d.form.Write(conn, request)
	}
	return isEarly
}

// isPromise reports whether the status promises that a request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sendLater sends requests after the drawn one, whose server may still write on the connections. It
// checks that each gets its own answer or none, and runs once at most if it may not be repeated.
func sendLater(c *quicktest.C, d *drawnServer, host, route string) {
	for n := range 3 {
		id := fmt.Sprintf("later-%d", n)
		response, _, err := sendRequestAs(id, host, "POST", route, "body")
		d.mutex.Lock()
		comment := quicktest.Commentf("%s after %s: %v", route, d.form, err)
		if err == nil && response.StatusCode == http.StatusOK {
			c.Check(response.Header.Get("X-Attempt-Id"), quicktest.Equals, id, comment)
		}
		if route == "/unsafe/x" || route == "/once/x" {
			c.Check(d.otherRuns[id] <= 1, quicktest.IsTrue, comment)
			c.Check(response != nil && isPromise(response.StatusCode) && d.otherRuns[id] > 0, quicktest.IsFalse, comment)
		}
		d.mutex.Unlock()
	}
}

// TestUnsoundRefusalDoesNotRunRequestTwice guards against a second run of a request that may run
// once, and against a status that says it has not run, because its server's answer states so and
// something else in it, or on its connection, contradicts that. The request of a sound refusal has
// to be answered by the other server. The requests after it are checked as well.
func TestUnsoundRefusalDoesNotRunRequestTwice(t *testing.T) {
	for seed := *firstForm; seed < *firstForm+uint64(*formCount); seed++ {
		random := rand.New(rand.NewPCG(seed, 0))
		form, route, warm := answer.Draw(random), drawnRoutes[random.IntN(len(drawnRoutes))], random.IntN(2) == 0
		form = answer.DrawFaults(rand.New(rand.NewPCG(seed, 1)), form)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			d := &drawnServer{form: form, isStream: route == "/once/x" || route == "/stream/x", used: make(map[net.Conn]bool), otherRuns: make(map[string]int)}
			host := startFront(c, syncedViews(), startEarlyBackend(c, d.serve, d.serveEarly), startEarlyBackend(c, d.serve, d.serveEarly))
			if warm {
				for n := range 4 {
					_, _, err := sendRequestAs(fmt.Sprint(n), host, "POST", route, "body")
					c.Assert(err, quicktest.IsNil)
				}
			}
			requestBody := "body"
			if form.IsEarly() {
				requestBody = strings.Repeat("x", longBodyBytes)
			}
			response, _, err := sendRequestAs(drawnID, host, "POST", route, requestBody)
			status := 0
			if response != nil {
				status = response.StatusCode
			}
			sendLater(c, d, host, route)
			d.mutex.Lock()
			defer d.mutex.Unlock()
			comment := quicktest.Commentf("%s, warm %t: %s; runs %d, status %d, error %v", route, warm, form, d.runs, status, err)
			if d.refused {
				c.Check(status, quicktest.Equals, http.StatusOK, comment)
				c.Check(err, quicktest.IsNil, comment)
			}
			if route == "/safe/x" || route == "/stream/x" {
				c.Check(d.runs <= 2, quicktest.IsTrue, comment)
				return
			}
			c.Check(d.runs, quicktest.Equals, 1, comment)
			c.Check(isPromise(status), quicktest.IsFalse, comment)
		})
	}
}

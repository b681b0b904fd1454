package front

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const (
	// crashingPart is the prompt part that ends each engine of a crashingSite.
	crashingPart = "bad"
	// learnTime is how long after the fifth end the hosts may still send requests with
	// the part, and laterSends how many they may send after that time.
	learnTime  = 4 * time.Second
	laterSends = 3
	// freeEnds is the number of engines that may end before the hosts must learn.
	freeEnds = 5
)

// A crashingSite has engines that end for good as soon as they begin an answer to some
// requests.
type crashingSite struct {
	engines []*backendServer

	mutex sync.Mutex
	// ends is the number of engines that have ended, and sends the number of such
	// requests that reached an engine.
	ends, sends int
	conns       map[*backendServer][]net.Conn
	// crashes reports whether a request ends its engine.
	crashes func(*http.Request) bool
}

// startCrashingSite starts engines that requests with crashingPart end.
func startCrashingSite(c *quicktest.C, count int) *crashingSite {
	return startCrashingSiteWith(c, count, func(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPart) })
}

// startCrashingSiteWith starts engines that the requests chosen by crashes end.
func startCrashingSiteWith(c *quicktest.C, count int, crashes func(*http.Request) bool) *crashingSite {
	s := &crashingSite{conns: make(map[*backendServer][]net.Conn), crashes: crashes}
	for range count {
		var b *backendServer
		b = startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return s.serve(b, conn, r) })
		s.engines = append(s.engines, b)
	}
	return s
}

// serve streams two events, or ends the engine.
func (s *crashingSite) serve(b *backendServer, conn net.Conn, r *http.Request) bool {
	s.mutex.Lock()
	s.conns[b] = append(s.conns[b], conn)
	s.mutex.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("X-Attempt-Id"))
	if !s.crashes(r) {
		for id := 1; id <= 2; id++ {
			event := fmt.Sprintf("id: %d\ndata: a\n\n", id)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
	b.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sends++
	s.ends++
	for _, conn := range s.conns[b] {
		conn.Close()
	}
	return false
}

// counts returns the numbers of ended engines and of sends of crashing requests.
func (s *crashingSite) counts() (ends, sends int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ends, s.sends
}

// TestPromptPartKeepsCrashingEngines guards against requests with a prompt part that
// ends engines being sent to one engine after the other, by any host, and against
// refusing sound requests that have the other parts of such requests.
func TestPromptPartKeepsCrashingEngines(t *testing.T) {
	c := quicktest.New(t)
	s := startCrashingSite(c, 16)
	hosts := startFronts(c, 2, s.engines...)
	ask := func(host, parts string) int {
		answer, _, err := sendRequest(host, "POST", "/stream/x", "", "X-Prompt-Prefix: "+parts)
		if err != nil {
			return 0
		}
		return answer.StatusCode
	}
	// The engines that have ended stay in the view of the hosts, so that a sound request
	// may need several tries.
	askSound := func(host string) {
		c.Helper()
		status := 0
		for try := 0; try < 5 && status != http.StatusOK; try++ {
			status = ask(host, "system:100,document:200,own:10")
		}
		c.Assert(status, quicktest.Equals, http.StatusOK)
	}
	askSound(hosts[0])
	for n := 0; n < 10; n++ {
		ask(hosts[0], fmt.Sprintf("system:100,document:200,%s:50,own-%d:10", crashingPart, n))
		askSound(hosts[0])
		time.Sleep(150 * time.Millisecond)
	}
	ends, before := s.counts()
	c.Check(ends > 0, quicktest.IsTrue)
	if ends >= freeEnds {
		time.Sleep(learnTime)
	}
	for n := 0; n < 10; n++ {
		for _, host := range hosts {
			ask(host, fmt.Sprintf("system:100,document:200,%s:50,own-%d:10", crashingPart, n))
			askSound(host)
		}
	}
	_, after := s.counts()
	allowed := laterSends + max(freeEnds-before, 0)
	c.Check(after-before <= allowed, quicktest.IsTrue, quicktest.Commentf("%d sends after %d, %d allowed", after-before, before, allowed))
}

// TestPartWithOneAdapterKeepsCrashingEngines guards against requests that end engines and are
// not found, because sound requests use the same adapter with other parts, and the same part
// with other adapters.
func TestPartWithOneAdapterKeepsCrashingEngines(t *testing.T) {
	c := quicktest.New(t)
	s := startCrashingSiteWith(c, 16, func(r *http.Request) bool {
		return strings.HasPrefix(r.Header.Get("X-Prompt-Prefix"), crashingPart) && r.Header.Get("X-Model") == "m/a"
	})
	hosts := startFronts(c, 2, s.engines...)
	ask := func(host, adapter, part, body string) int {
		answer, _, err := sendRequest(host, "POST", "/stream/x", body, "X-Prompt-Prefix: "+part+":100,own:10", "X-Model: m/"+adapter)
		if err != nil {
			return 0
		}
		return answer.StatusCode
	}
	// Engines that have ended stay in the view of the hosts.
	askSound := func(adapter, part string) {
		c.Helper()
		status := 0
		for try := 0; try < 5 && status != http.StatusOK; try++ {
			status = ask(hosts[0], adapter, part, "sound")
		}
		c.Assert(status, quicktest.Equals, http.StatusOK)
	}
	for n := range 12 {
		ask(hosts[n%2], "a", crashingPart, fmt.Sprint(n))
		askSound("a", "other")
		askSound("b", crashingPart)
		time.Sleep(150 * time.Millisecond)
	}
	ends, _ := s.counts()
	c.Check(ends <= freeEnds, quicktest.IsTrue, quicktest.Commentf("%d engines ended", ends))
}

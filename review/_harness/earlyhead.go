package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["early-head"] = playEarlyHead }

const (
	// firstEventTime is the time until an engine sends the first event of a stream, and
	// slowFactor how many times longer a slow engine takes.
	firstEventTime = 700 * time.Millisecond
	slowFactor     = 5
	// shortTimeout is the timeoutMs of the route, in milliseconds.
	shortTimeout = 3000
	// earlyHeadClients clients send one request after the other for earlyHeadTime, each on a kept channel.
	earlyHeadClients = 12
	earlyHeadTime    = 45 * time.Second
	// lateAnswer is how long after timeoutMs a request has to be answered.
	lateAnswer = 500 * time.Millisecond
)

// playEarlyHead lets one of seven engines turn slow. The engines send the head of an answer at
// once and the events when they are made. A request that has no event at its route's
// timeoutMs has to be answered.
func playEarlyHead(e *environment) (verdict, error) {
	s, err := e.newStore(nil)
	if err != nil {
		return verdict{}, err
	}
	s.writeDesiredState(route{name: "voraus-pruef", kind: "streaming", service: engineService, priority: 2, attempts: 2, timeoutMs: shortTimeout, targetMs: 1000})
	zones := []string{"muc-a", "muc-b", "fra-a"}
	for i := range 7 {
		g := &engine{id: fmt.Sprintf("i-%d", i+1), zone: zones[i%3], eventGap: 20 * time.Millisecond, events: 4, held: map[string]bool{"a1": true, "a2": true}, firstEvent: firstEventTime}
		if e.trouble && i == 0 {
			g.firstEvent *= slowFactor
		}
		if err := e.addEngine(s, g); err != nil {
			return verdict{}, err
		}
	}
	for i := range 3 {
		if _, err := e.addHost(fmt.Sprintf("front-%d", i+1), zones[i], s.address); err != nil {
			return verdict{}, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	var mutex sync.Mutex
	whole, answered, unanswered := 0, 0, 0
	var group sync.WaitGroup
	end := time.Now().Add(earlyHeadTime)
	for c := range earlyHeadClients {
		group.Go(func() {
			k := &keptChannel{environment: e, host: e.hosts[c%3]}
			defer k.close()
			for n := 0; time.Now().Before(end); n++ {
				attempt := fmt.Sprintf("stream-%d-%d", c, n)
				begun := time.Now()
				status, err := k.send(attempt, "/voraus-pruef/1", 12*time.Second, map[string]string{
					"X-Model": modelName + "/a" + fmt.Sprint(1+n%2), "X-Token-Counts": "2368,24", "X-Prompt-Prefix": fmt.Sprintf("bb:568,%x:1800", c*1000+n),
				})
				took := time.Since(begun)
				mutex.Lock()
				switch {
				case status == http.StatusOK && err == nil:
					whole++
				case status != 0:
					answered++
				case took > shortTimeout*time.Millisecond-lateAnswer:
					unanswered++
					e.note("%s got no answer: the channel ended after %s: %v", attempt, took, err)
				}
				mutex.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return verdict{broken: unanswered > answered && unanswered > 3,
		text: fmt.Sprintf("%d requests answered whole; of those that were unanswered at timeoutMs %d got a status and %d only the end of their channel", whole, answered, unanswered)}, nil
}

// A keptChannel is a client's channel that is kept for many requests.
type keptChannel struct {
	environment *environment
	host        *host
	conn        net.Conn
	reader      *bufio.Reader
}

// send sends a request and reads the whole answer. status is 0 if the channel ended before
// an answer.
func (k *keptChannel) send(attempt, path string, timeout time.Duration, header map[string]string) (status int, err error) {
	if k.conn == nil {
		if k.conn, err = net.Dial("tcp", k.host.caller); err != nil {
			return 0, err
		}
		k.reader = bufio.NewReader(k.conn)
	}
	var text strings.Builder
	body := "body of " + attempt
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n", path, callHost, attempt, timeout.Milliseconds(), len(body))
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	text.WriteString("\r\n" + body)
	_ = k.conn.SetDeadline(time.Now().Add(timeout))
	k.environment.note("client sends %s to %s on a kept channel", attempt, k.host.name)
	if _, err := io.WriteString(k.conn, text.String()); err != nil {
		k.close()
		return 0, err
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		k.close()
		return 0, err
	}
	content, err := io.ReadAll(response.Body)
	k.environment.note("client of %s got status %d, %d bytes, receipt %q, end %v", attempt, response.StatusCode, len(content), response.Header.Get("X-Response-Signature"), err)
	if err != nil || response.Close {
		k.close()
	}
	return response.StatusCode, err
}

// close closes the channel.
func (k *keptChannel) close() {
	if k.conn != nil {
		_ = k.conn.Close()
	}
	k.conn = nil
}

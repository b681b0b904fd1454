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

// An attempt is one request of a client, with what the client saw of it.
type attempt struct {
	ID, Path, Adapter string
	Sent, Ended       time.Time
	// Status is 0 if no answer came.
	Status int
	// Complete says that the answer arrived to its end.
	Complete bool
	Failure  string
}

// A connection is a kept connection of a client to a front host.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection.
func dial(address string) (*connection, error) {
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// do sends a request whole and reads its answer.
func (c *connection) do(a *attempt, method string, body []byte, header ...string) {
	a.Sent = time.Now()
	defer func() { a.Ended = time.Now() }()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 12000\r\n", method, a.Path, callHost, a.ID)
	for _, line := range header {
		head.WriteString(line + "\r\n")
	}
	if a.Adapter != "" {
		fmt.Fprintf(&head, "X-Model: %s/%s\r\nX-Token-Counts: 100,400\r\nX-Prompt-Prefix: 5c1e07a2:80,%s:20\r\n", baseModel, a.Adapter, a.ID)
	}
	if len(body) > 0 || method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	_ = c.SetDeadline(time.Now().Add(13 * time.Second))
	if _, err := c.Write(append([]byte(head.String()), body...)); err != nil {
		a.Failure = err.Error()
		return
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.Failure = err.Error()
		return
	}
	defer answer.Body.Close() //nolint:errcheck // The body is read to its end.
	a.Status = answer.StatusCode
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		a.Failure = err.Error()
		return
	}
	a.Complete = true
}

// An attemptLog collects attempts.
type attemptLog struct {
	mutex    sync.Mutex
	attempts []*attempt
}

func (l *attemptLog) add(a *attempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attempts = append(l.attempts, a)
}

// all returns the attempts so far.
func (l *attemptLog) all() []*attempt {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]*attempt{}, l.attempts...)
}

// A run is a line of an engine's record: a request that ran there, or on which the engine crashed.
type run struct {
	Kind    string    `json:"kind"`
	At      time.Time `json:"at"`
	Attempt string    `json:"attempt"`
}

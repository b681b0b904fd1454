package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// An answer is what a client got for a request.
type answer struct {
	attempt string
	status  int
	body    string
	// err is set if the answer did not end properly.
	err error
}

// send sends one request on a new channel and returns the answer.
func (e *environment) send(h *host, attempt, method, path string, timeout time.Duration, header map[string]string) answer {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader("body of " + attempt)
	}
	r, err := http.NewRequest(method, "http://"+h.caller+path, body)
	if err != nil {
		return answer{attempt: attempt, err: err}
	}
	r.Host = callHost
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	e.note("client sends %s to %s", attempt, h.name)
	a := answer{attempt: attempt}
	response, err := client.Do(r)
	if err != nil {
		a.err = err
		e.note("client of %s got no answer: %v", attempt, err)
		return a
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	a.status, a.body, a.err = response.StatusCode, string(content), err
	e.note("client of %s got status %d, %d bytes, receipt %q, end %v", attempt, a.status, len(content), response.Header.Get("X-Response-Signature"), err)
	return a
}

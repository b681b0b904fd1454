package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// An outcome is what a client saw of one request.
type outcome struct {
	id       string
	status   int
	complete bool
	err      error
}

// post sends a request of a route over a new connection that stays open, and reads the answer.
func post(w *world, address, path, id string, wait time.Duration) outcome {
	o := outcome{id: id}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer conn.Close() //nolint:errcheck // The answer was read or has failed.
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nhi", path, callHost, id, wait.Milliseconds()); err != nil {
		o.err = err
		return o
	}
	w.note("request %s sent to %s%s", id, address, path)
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		o.err = err
		w.note("request %s: no answer: %v", id, err)
		return o
	}
	o.status = answer.StatusCode
	buffer := make([]byte, 4096)
	for err == nil {
		_, err = answer.Body.Read(buffer)
	}
	o.complete = err.Error() == "EOF"
	w.note("request %s: status %d, whole body %t", id, o.status, o.complete)
	return o
}

// secondStop sends SIGTERM to a host with requests that may run once, and SIGTERM once more during
// its grace time.
func secondStop(w *world) bool {
	w.startStore()
	w.writeDesired(3, []any{route("book", "unsafe", "ledger", 1, 6000, false)}, []any{map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConns": 500}})
	w.addService("ledger-1", "ledger", "muc-a", "--slots", "64", "--work", "2s")
	w.addService("ledger-2", "ledger", "muc-b", "--slots", "64", "--work", "2s")
	first := w.addHost("host-1", "muc-a", w.store, 4100)
	second := w.addHost("host-2", "muc-b", w.store, 4100)
	await("the hosts are ready", func() bool { return first.isReady() && second.isReady() })
	time.Sleep(5 * time.Second) // touchMs of calm

	const count = 20
	outcomes := make([]outcome, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { outcomes[i] = post(w, first.callers, "/book/x", fmt.Sprintf("booking%02d", i), 6*time.Second) })
	}
	time.Sleep(400 * time.Millisecond)
	w.signal(first.process, syscall.SIGTERM)
	time.Sleep(600 * time.Millisecond)
	if w.hasTrouble {
		w.signal(first.process, syscall.SIGTERM)
	}
	group.Wait()
	lost := 0
	for _, o := range outcomes {
		if o.err != nil || !o.complete {
			lost++
		}
	}
	w.say("%d of %d requests that the host had passed on ended without an answer", lost, count)
	return lost == 0
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// request sends a request without a body over a new connection and returns the status of the answer
// and its signature.
func request(w *world, address, method, target, id string) (status int, signature string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	must(err)
	defer conn.Close() //nolint:errcheck // The answer was read.
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", method, target, callHost, id)
	must(err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	must(err)
	status, signature = answer.StatusCode, answer.Header.Get("X-Response-Signature")
	w.say("%s %s: status %d, signature %q", method, target, status, signature)
	return status, signature
}

// asterisk asks for a target that matches no route.
func asterisk(w *world) bool {
	w.startStore()
	w.writeDesired(3, []any{route("read", "safe", "ledger", 2, 3000, false)}, []any{map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConns": 110}})
	w.addService("ledger-1", "ledger", "muc-a", "--slots", "6", "--work", "30ms")
	h := w.addHost("host-1", "muc-a", w.store, 4100)
	await("the host is ready", h.isReady)
	time.Sleep(5 * time.Second) // touchMs of calm
	targets := []string{"/read/x", "/nowhere/x"}
	if w.hasTrouble {
		targets = append(targets, "*")
	}
	held := true
	for i, target := range targets {
		for _, method := range []string{"GET", "OPTIONS"} {
			if method == "GET" && target == "*" {
				continue
			}
			status, signature := request(w, h.callers, method, target, fmt.Sprintf("%s%d", method, i))
			isSuccess := status >= 200 && status < 300
			held = held && (!isSuccess || signature != "")
		}
	}
	return held
}

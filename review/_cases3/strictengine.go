package main

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
)

// adapterCount is the number of adapters of the base model in the desired state, a1 and so on.
const adapterCount = 200

// startStrictEngine puts a filter before a stand-in engine of the project and returns its address. As the
// pages say, it refuses orders for adapters that do not exist with status 400; the stand-in loads them.
func startStrictEngine(target string) string {
	address := freeAddress()
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	forward.FlushInterval = -1
	forward.ErrorLog = log.New(io.Discard, "", 0)
	server := &http.Server{Addr: address, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order" {
			content, _ := io.ReadAll(r.Body)
			var order struct{ Adapter string }
			if json.Unmarshal(content, &order) != nil || order.Adapter != "" && !isAdapter(order.Adapter) {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(content))
		}
		forward.ServeHTTP(w, r)
	})}
	go func() { _ = server.ListenAndServe() }()
	return address
}

// isAdapter reports whether the desired state has an adapter with the name.
func isAdapter(name string) bool {
	text, ok := strings.CutPrefix(name, "a")
	number, err := strconv.Atoi(text)
	return ok && err == nil && number >= 1 && number <= adapterCount && strconv.Itoa(number) == text
}

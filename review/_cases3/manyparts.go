package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["many-parts"] = runManyParts }

const (
	// crowd is the number of connections of the outsider, fewer than a host of 284 MiB takes (2,272).
	crowd = 2000
	// manyParts is the number of parts of a prompt that fits into a head of less than 16,384 bytes, and
	// usualParts that of the other callers.
	manyParts  = 3800
	usualParts = 3
)

// runManyParts has an outsider send a whole legal request at a time over each of many connections. With the
// disruption the prompts have many parts.
func runManyParts(d *deployment, trouble bool) bool {
	d.startPlatform()
	d.setDesiredState(firstVersion, route("chat", "streaming", engineName, 2, true), route("lookup", "safe", bookingName, 2, false))
	for i, zone := range zones {
		d.addServer(fmt.Sprintf("engine-%d", i), engineName, zone, "--events", "40", "--event-gap", "200ms", "--adapter-load", "250ms")
		d.addServer(fmt.Sprintf("booking-%d", i), bookingName, zone)
	}
	for i, zone := range zones {
		d.addHost(fmt.Sprintf("host-%d", i), zone)
	}
	d.awaitHosts()
	parts := usualParts
	if trouble {
		parts = manyParts
	}
	prompt := fmt.Sprintf("X-Prompt-Prefix: %saa:20", strings.Repeat("a:1,", parts-1))
	note("3 hosts with %d MiB each are ready; %d connections of the outsider to host-0, prompts of %d parts, header line of %d bytes", memoryLimit, crowd, parts, len(prompt))
	var (
		callers, strangers attemptLog
		isEnded            atomic.Bool
		group              sync.WaitGroup
	)
	target := d.hosts[0]
	for i := range crowd {
		group.Go(func() {
			for n := 0; !isEnded.Load() && !target.hasEnded(); n++ {
				c, err := dial(target.callers)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				a := &attempt{ID: fmt.Sprintf("0e%04d%04d", i, n), Path: "/chat/x"}
				c.do(a, http.MethodPost, []byte(`{}`), fmt.Sprintf("X-Model: %s/a%d", baseModel, 1+i%6), "X-Token-Counts: 4000,40", prompt)
				_ = c.Close()
				strangers.add(a)
			}
		})
	}
	for i := range 6 {
		group.Go(func() {
			for n := 0; !isEnded.Load(); n++ {
				if c, err := dial(target.callers); err == nil {
					a := &attempt{ID: fmt.Sprintf("0b%02d%06d", i, n), Path: "/lookup/x"}
					c.do(a, http.MethodGet, nil)
					_ = c.Close()
					callers.add(a)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	most := 0
	for n := range 120 {
		time.Sleep(250 * time.Millisecond)
		resident := target.residentMegabytes()
		most = max(most, resident)
		if n%12 == 0 {
			note("host-0: %d MiB resident, most %d", resident, most)
		}
	}
	alive := !target.hasEnded()
	isEnded.Store(true)
	group.Wait()
	statuses, strange := make(map[int]int), make(map[int]int)
	for _, a := range callers.all() {
		statuses[a.Status]++
	}
	for _, a := range strangers.all() {
		strange[a.Status]++
	}
	note("answers to ordinary callers by status %v, to the outsider %v", statuses, strange)
	note("most resident memory of host-0: %d MiB, limit %d; alive: %t", most, memoryLimit, alive)
	return alive && most <= memoryLimit
}

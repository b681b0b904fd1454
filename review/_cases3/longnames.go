package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["long-names"] = runLongNames }

const (
	// memoryLimit is memoryMb of a machine of a small deployment, in MiB.
	memoryLimit = 284
	// longName is the size of the adapter names that the outsider asks for. The whole head stays
	// under maxHeaderBytes.
	longName = 14000
	// outsiders is the number of connections of the outsider.
	outsiders = 90
	// loadTime is how long the outsider sends.
	loadTime = 95 * time.Second
)

// runLongNames has ordinary callers use three hosts. With the disruption an outsider sends requests of
// legal size, each for another adapter that does not exist.
func runLongNames(d *deployment, trouble bool) bool {
	d.startPlatform()
	d.setDesiredState(firstVersion, route("chat", "streaming", engineName, 2, true))
	for i, zone := range zones {
		d.addServer(fmt.Sprintf("engine-%d", i), engineName, zone, "--events", "6", "--event-gap", "20ms", "--adapter-load", "250ms")
	}
	for i, zone := range zones {
		d.addHost(fmt.Sprintf("host-%d", i), zone)
	}
	d.awaitHosts()
	note("3 hosts with %d MiB each and 3 engines are ready", memoryLimit)
	var (
		callers, strangers attemptLog
		group              sync.WaitGroup
		sent               atomic.Int64
	)
	var isEnded atomic.Bool
	end := time.Now().Add(loadTime)
	for i := range 6 {
		group.Go(func() {
			for n := 0; !isEnded.Load(); n++ {
				d.ask(&callers, d.hosts[i%3], fmt.Sprintf("0c%02d%06d", i, n), fmt.Sprintf("a%d", 1+i))
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	if trouble {
		for i := range outsiders {
			group.Go(func() {
				random := rand.New(rand.NewPCG(1, uint64(i)))
				for n := 0; !isEnded.Load() && d.isAlive(); n++ {
					name := strconv.FormatUint(random.Uint64(), 16)
					d.ask(&strangers, d.hosts[i%3], fmt.Sprintf("0d%02d%06d", i, n), strings.Repeat(name, longName/len(name)))
					sent.Add(1)
				}
			})
		}
	}
	most := make(map[string]int)
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		if !d.isAlive() {
			break
		}
		line := ""
		for _, h := range d.hosts {
			resident := h.residentMegabytes()
			most[h.name] = max(most[h.name], resident)
			line += fmt.Sprintf(" %s %d MiB", h.name, resident)
		}
		if int(time.Since(began).Seconds())%5 == 0 {
			note("%d requests of the outsider so far; resident:%s", sent.Load(), line)
		}
		if mostOf(most) > memoryLimit {
			break
		}
	}
	sentUntil := time.Since(began)
	isEnded.Store(true)
	group.Wait()
	time.Sleep(4 * time.Second)
	for _, h := range d.hosts {
		note("%s 4 s after the last request of anyone: %d MiB resident", h.name, h.residentMegabytes())
	}
	note("the outsider sent %d requests in %.0f s", sent.Load(), sentUntil.Seconds())
	held := d.isAlive() && mostOf(most) <= memoryLimit
	note("most resident memory: %v MiB, limit %d; hosts alive: %t", most, memoryLimit, d.isAlive())
	statuses, strange := make(map[int]int), make(map[int]int)
	for _, a := range callers.all() {
		statuses[a.Status]++
	}
	for _, a := range strangers.all() {
		strange[a.Status]++
	}
	note("answers to ordinary callers by status %v, to the outsider %v", statuses, strange)
	return held
}

// ask sends one request for an adapter over a connection of its own.
func (d *deployment) ask(l *attemptLog, h *host, id, adapter string) {
	c, err := dial(h.callers)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer c.Close() //nolint:errcheck // The answer has been read.
	a := &attempt{ID: id, Path: "/chat/x", Adapter: adapter}
	c.do(a, http.MethodPost, []byte(`{}`))
	a.Adapter = ""
	l.add(a)
}

// isAlive reports whether all front hosts run.
func (d *deployment) isAlive() bool {
	for _, h := range d.hosts {
		if h.hasEnded() {
			return false
		}
	}
	return true
}

// residentMegabytes returns the resident memory of the process in MiB.
func (p *process) residentMegabytes() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// mostOf returns the largest number.
func mostOf(numbers map[string]int) int {
	most := 0
	for _, n := range numbers {
		most = max(most, n)
	}
	return most
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["known-part"] = runKnownPart }

const (
	// deadlyPart is the part of a prompt that crashes engines, and soundPart that of the other callers.
	deadlyPart, soundPart = "dead0001", "0d0c0001"
	// touchTime is touchMs.
	touchTime = 4 * time.Second
	// restartTime is how long a crashed engine is away.
	restartTime = 3 * time.Second
	// readers is the number of callers that use the deadly part, each with an adapter of its own, and
	// readerTries how often each asks, every readerPause.
	readers     = 7
	readerTries = 5
	readerPause = 550 * time.Millisecond
	// soundPause is the time between two requests of other callers.
	soundPause = 17 * time.Millisecond
)

// runKnownPart has callers use a part of a prompt soundly. With the disruption the part then begins to
// crash engines.
func runKnownPart(d *deployment, trouble bool) bool {
	d.startPlatform()
	d.setDesiredState(firstVersion, route("chat", "streaming", engineName, 1, false))
	stop := make(chan struct{})
	calm := 23 * time.Second
	from := time.Now().Add(calm)
	var keepers sync.WaitGroup
	for i := range 9 {
		keepers.Go(func() { d.keepEngine(i, zones[i/3], from, trouble, stop) })
	}
	for i, zone := range zones {
		d.addHost(fmt.Sprintf("host-%d", i), zone)
	}
	d.awaitHosts()
	note("3 hosts and 9 engines are ready")
	time.Sleep(6 * time.Second)
	var (
		l     attemptLog
		group sync.WaitGroup
	)
	send := func(i int, id, adapter, part string) {
		group.Go(func() {
			c, err := dial(d.hosts[i%len(d.hosts)].callers)
			if err != nil {
				return
			}
			defer c.Close() //nolint:errcheck // The answer has been read.
			a := &attempt{ID: id, Path: "/chat/x"}
			c.do(a, http.MethodPost, []byte(`{"n":`+strconv.Itoa(i)+`}`), "X-Model: "+baseModel+"/"+adapter, "X-Token-Counts: 826,60",
				fmt.Sprintf("X-Prompt-Prefix: 5c1e07a2:198,%s:400,%08x:228", part, i+1))
			l.add(a)
		})
	}
	group.Go(func() {
		for n := range 2 * readers {
			send(1<<18+n, fmt.Sprintf("aa%06d", n), fmt.Sprintf("a%d", 100+n%readers), deadlyPart)
			time.Sleep(500 * time.Millisecond)
		}
		note("each of %d callers has used the part %s twice, soundly", readers, deadlyPart)
		time.Sleep(time.Until(from))
		note("from now on engines crash on the part: %t", trouble)
		for n := range readers * readerTries {
			send(1<<19+n, fmt.Sprintf("dd%06d", n), fmt.Sprintf("a%d", 100+n/readerTries), deadlyPart)
			time.Sleep(readerPause)
		}
	})
	end := from.Add(readers*readerTries*readerPause + 2*time.Second)
	for n := 0; time.Now().Before(end); n++ {
		send(n, fmt.Sprintf("5%07d", n), fmt.Sprintf("a%d", 1+n%20), soundPart)
		time.Sleep(soundPause)
	}
	group.Wait()
	close(stop)
	keepers.Wait()
	return d.checkBudget(&l, from)
}

// keepEngine starts an engine, and starts it again, empty and under another id, each time it has crashed.
func (d *deployment) keepEngine(number int, zone string, from time.Time, trouble bool, stop <-chan struct{}) {
	for n := 0; ; n++ {
		id, address, born := fmt.Sprintf("engine-%d-%d", number, n), freeAddress(), time.Now().UnixMilli()
		arguments := []string{"--listen", address, "--id", id, "--born", strconv.FormatInt(born, 10)}
		if trouble {
			arguments = append(arguments, "--deadly-part", deadlyPart, "--deadly-from", strconv.FormatInt(from.UnixMilli(), 10))
		}
		models := []any{map[string]any{"name": baseModel, "version": 1, "adapters": []string{}}}
		if n > 0 {
			arguments, models = append(arguments, "--empty"), []any{}
		}
		p := d.start(id, filepath.Join(d.programs, "review-3", "engine"), arguments...)
		time.Sleep(100 * time.Millisecond)
		d.setRow("servers", id, map[string]any{
			"backend": engineName, "address": address, "zone": zone, "version": "1", "slots": 64, "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": born, "models": models,
		})
		select {
		case <-stop:
			return
		case <-p.ended:
		}
		note("%s has crashed", id)
		time.Sleep(restartTime)
		d.deleteRow("servers", id)
	}
}

// checkBudget counts the requests with the part that reached engines later than touchMs after the fifth
// crash.
func (d *deployment) checkBudget(l *attemptLog, from time.Time) bool {
	var crashes, reached []time.Time
	logs, _ := filepath.Glob(filepath.Join(d.directory, "engine-*.log"))
	for _, name := range logs {
		content, _ := os.ReadFile(name)
		for line := range strings.Lines(string(content)) {
			var r run
			switch {
			case json.Unmarshal([]byte(line), &r) != nil:
			case r.Kind == "crashed":
				crashes = append(crashes, r.At)
			case r.Kind == "ran" && strings.HasPrefix(r.Attempt, "dd"):
				reached = append(reached, r.At)
			case r.Kind == "overfull":
				abandon("an engine was ordered to load too much")
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, at := range reached {
		if len(crashes) >= 5 && at.Sub(crashes[4]) > touchTime {
			late++
		}
	}
	before, sound := make(map[int]int), make(map[int]int)
	for _, a := range l.all() {
		switch {
		case strings.HasPrefix(a.ID, "aa"):
			before[a.Status]++
		case strings.HasPrefix(a.ID, "5") && a.Sent.After(from):
			sound[a.Status]++
		}
	}
	note("answers to the requests with the part before, by status: %v; to sound requests after: %v", before, sound)
	if before[http.StatusOK] < 2*readers-2 {
		abandon("the part was not used soundly before")
	}
	note("%d crashes; %d of %d requests with the part reached engines, %d of them later than touchMs after the fifth crash, 3 are allowed",
		len(crashes), len(reached), readers*readerTries, late)
	return late <= 3
}

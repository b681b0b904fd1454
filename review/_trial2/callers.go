package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// callerCount is the number of callers that open the document with the deadly part, one after the
	// other.
	callerCount = 6
	// deadlyTries is how often such a caller asks before it gives up, and tryInterval the time between
	// two of its requests.
	deadlyTries = 5
	tryInterval = 550 * time.Millisecond
	// soundInterval is the time between two sound requests.
	soundInterval = 20 * time.Millisecond
)

// document returns the parts of the prompt of a request: a shared one, the document, and its own.
func document(part string, i int) string {
	return "5c1e07a2:198," + part + ":400," + ownPart(i) + ":228"
}

// callersCase has callers with an adapter of their own, who send a sound stream and then five with a
// part that crashes each engine that begins an answer on it.
func callersCase(w *world) bool {
	w.startStore()
	w.writeDesired(3, []any{route("chat", "streaming", "writers", 1, 12000, false)}, []any{engineService()})
	stop := make(chan struct{})
	defer close(stop)
	var hosts []*host
	for i, zone := range []string{"muc-a", "muc-b", "fra-a"} {
		for n := range 3 {
			w.keepEngine(3*i+n, zone, stop)
		}
		hosts = append(hosts, w.addHost(fmt.Sprintf("host-%d", i), zone, w.store, 4100))
	}
	for _, h := range hosts {
		await(h.name+" is ready", h.isReady)
	}
	time.Sleep(6 * time.Second) // The owners of the zones give their first turns.

	var group sync.WaitGroup
	send := func(i int, id, adapter, part string) {
		group.Go(func() {
			w.ask(hosts[i%len(hosts)].callers, http.MethodPost, "/chat/x", id, "m0/"+adapter, "826,60", document(part, i), 6*time.Second)
		})
	}
	group.Go(func() {
		adapter := func(caller int) string { return fmt.Sprintf("a%d", 100+caller) }
		// The callers work as others do, and then open the document, one after the other.
		for caller := range callerCount {
			send(1<<18+caller, fmt.Sprintf("before%d", caller), adapter(caller), "0d0c0001")
		}
		time.Sleep(5 * time.Second)
		for caller := range callerCount {
			for try := range deadlyTries {
				if w.hasTrouble {
					send(1<<19+10*caller+try, fmt.Sprintf("deadly%d-%d", caller, try), adapter(caller), deadlyPart)
				}
				time.Sleep(tryInterval)
			}
			time.Sleep(tryInterval)
		}
	})
	length := 5*time.Second + callerCount*(deadlyTries+1)*tryInterval
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		send(i, fmt.Sprintf("sound%d", i), fmt.Sprintf("a%d", 1+i%20), "0d0c0001")
		time.Sleep(soundInterval)
	}
	group.Wait()
	return w.judgeCallers()
}

// judgeCallers checks the rule BUDGET for parts that crash engines.
func (w *world) judgeCallers() bool {
	w.copyRecords()
	var crashes []time.Time
	lines := w.engineLines()
	for _, line := range lines {
		if line.kind == "crashed" {
			crashes = append(crashes, line.at)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	reached := 0
	for _, line := range lines {
		isDeadly := (line.kind == "ran" || line.kind == "refused") && strings.HasPrefix(line.rest[1], "deadly")
		if isDeadly && len(crashes) >= 5 && line.at.After(crashes[4].Add(touchTime)) {
			reached++
		}
	}
	w.say("%d crashes; %d deadly requests reached engines later than touchMs after the fifth, 3 are allowed", len(crashes), reached)
	return reached <= 3
}

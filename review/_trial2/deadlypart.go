package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// deadlyPart is the part of a prompt that crashes engines.
	deadlyPart = "dead0001"
	// restartTime is how long a crashed engine is away.
	restartTime = 3 * time.Second
	// touchTime is touchMs.
	touchTime = 4 * time.Second
)

// deadlyPlace returns the place of the part among the parts of a prompt, from 1: the 18th, or that in
// the variable PLACE.
func deadlyPlace() int {
	if place, err := strconv.Atoi(os.Getenv("PLACE")); err == nil {
		return place
	}
	return 18
}

// prompt returns the parts of a prompt: 19 shared ones, one of which may be replaced by the deadly
// one, and its own.
func prompt(i int, isDeadly bool) string {
	var parts []string
	for n := range 19 {
		parts = append(parts, fmt.Sprintf("5c1e07%02x:40", n))
	}
	if isDeadly {
		parts[deadlyPlace()-1] = deadlyPart + ":40"
	}
	return strings.Join(append(parts, ownPart(i)+":66"), ",")
}

// A keptEngine is an engine that is started again each time that it has ended.
type keptEngine struct {
	mutex   sync.Mutex
	process *process
}

// kill kills the present process of the engine.
func (k *keptEngine) kill(w *world) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	w.signal(k.process, syscall.SIGKILL)
}

// set replaces the process of the engine.
func (k *keptEngine) set(p *process) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.process = p
}

// keepEngine starts an engine, and starts it again, empty and under another id, each time that it has ended.
func (w *world) keepEngine(number int, zone string, stop <-chan struct{}) *keptEngine {
	id := fmt.Sprintf("engine-%d", number)
	p := w.addEngine(id, zone, "--deadly-part", deadlyPart)
	kept := &keptEngine{process: p}
	go func() {
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-p.ended:
			}
			w.note("%s has crashed", id)
			time.Sleep(restartTime)
			select {
			case <-stop:
				return
			default:
			}
			w.setRow("servers", id, nil)
			id = fmt.Sprintf("engine-%d-%d", number, n)
			p = w.addEngine(id, zone, "--deadly-part", deadlyPart, "--empty")
			kept.set(p)
		}
	}()
	return kept
}

// deadlyPartCase sends sound streams, and then also streams with a part that crashes each engine that
// begins an answer on it, far back in a prompt of many parts.
func deadlyPartCase(w *world) bool {
	w.startStore()
	w.writeDesired(3, []any{route("chat", "streaming", "writers", 2, 12000, true)}, []any{engineService()})
	stop := make(chan struct{})
	defer close(stop)
	isPlain := os.Getenv("MODE") == "plain"
	var engines []*keptEngine
	var hosts []*host
	for i, zone := range []string{"muc-a", "muc-b", "fra-a"} {
		for n := range 3 {
			engines = append(engines, w.keepEngine(3*i+n, zone, stop))
		}
		hosts = append(hosts, w.addHost(fmt.Sprintf("host-%d", i), zone, w.store, 4100))
	}
	for _, h := range hosts {
		await(h.name+" is ready", h.isReady)
	}
	time.Sleep(6 * time.Second) // The owners of the zones give their first turns.

	var group sync.WaitGroup
	troubleFrom := time.Now().Add(10 * time.Second)
	end := troubleFrom.Add(40 * time.Second)
	sent := make(map[string]time.Time)
	pause := 100 * time.Millisecond
	if isPlain {
		pause = 15 * time.Millisecond
		if w.hasTrouble {
			go killInTurn(w, engines[:plainCrashes], troubleFrom)
		}
	}
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("sound%d", i)
		sent[id] = time.Now()
		group.Go(func() {
			w.ask(hosts[i%len(hosts)].callers, http.MethodPost, "/chat/x", id, "m0", "826,60", prompt(i, false), 6*time.Second)
		})
		if w.hasTrouble && !isPlain && i%10 == 5 && time.Now().After(troubleFrom) {
			group.Go(func() {
				w.ask(hosts[i/10%len(hosts)].callers, http.MethodPost, "/chat/x", fmt.Sprintf("deadly%d", i), "m0", "826,60", prompt(1<<19+i, true), 6*time.Second)
			})
		}
		time.Sleep(pause)
	}
	group.Wait()
	return w.judgeDeadlyPart(sent, troubleFrom)
}

// plainCrashes is the number of engines that are killed in the mode "plain", one a second.
const plainCrashes = 6

// killInTurn kills the engines one after the other from a time on.
func killInTurn(w *world, engines []*keptEngine, from time.Time) {
	time.Sleep(time.Until(from))
	for _, e := range engines {
		e.kill(w)
		time.Sleep(time.Second)
	}
}

// judgeDeadlyPart checks the rules BUDGET and LOST for parts that crash engines.
func (w *world) judgeDeadlyPart(sent map[string]time.Time, troubleFrom time.Time) bool {
	w.copyRecords()
	var crashes []time.Time
	began := make(map[string]bool)
	lines := w.engineLines()
	for _, line := range lines {
		switch {
		case line.kind == "crashed":
			crashes = append(crashes, line.at)
		case line.kind == "ran":
			began[line.rest[1]] = true
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	w.say("%d crashes by the deadly part", len(crashes))
	if len(crashes) == 0 {
		// In the mode "plain" the engines were killed.
		crashes = append(crashes, troubleFrom.Add(plainCrashes*time.Second))
	}
	reference := crashes[min(len(crashes), 5)-1]
	reached := 0
	for _, line := range lines {
		if (line.kind == "ran" || line.kind == "refused") && strings.HasPrefix(line.rest[1], "deadly") && line.at.After(reference.Add(touchTime)) {
			reached++
		}
	}
	share := func(from, until time.Time) (asked int, share float64) {
		count := 0
		for id, at := range sent {
			if at.Before(from) || at.After(until) {
				continue
			}
			asked++
			if began[id] {
				count++
			}
		}
		return asked, float64(count) / float64(max(asked, 1))
	}
	askedBefore, before := share(w.began, troubleFrom)
	askedAfter, after := share(reference.Add(2*touchTime), time.Now())
	w.say("the fifth crash (or the last, or the end of the killings) came %.1f s after the begin of the disruption", reference.Sub(troubleFrom).Seconds())
	w.say("BUDGET: %d deadly requests reached engines later than touchMs after it, 3 are allowed", reached)
	w.say("LOST: of %d sound requests before, %.2f began; of %d later than 2 x touchMs after it, %.2f", askedBefore, before, askedAfter, after)
	return reached <= 3 && (askedBefore < 20 || askedAfter < 20 || after >= before/2)
}

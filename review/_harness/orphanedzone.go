package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"
)

func init() { cases["orphaned-zone"] = playOrphanedZone }

const (
	// recoverTime is recoverS, and downTime how long the processes are down.
	recoverTime = 12 * time.Second
	downTime    = 1200 * time.Millisecond
	// lateWriteDelay is how much later a write without an answer is done: 1 to 6 s.
	lateWriteDelay = 4500 * time.Millisecond
	// adapterCount is the number of adapters that are asked for, all alike often.
	adapterCount = 3000
	// requestGap is the time between two requests of all clients together.
	requestGap = 100 * time.Millisecond
	// measureTime is how long requests are counted before and after the final fault.
	measureTime = 15 * time.Second
)

// A lateWrites wraps the store. It does one write without an answer, and later than its
// successors: the first registration of a host after arm was called.
type lateWrites struct {
	environment *environment
	inner       http.Handler

	mutex sync.Mutex
	armed map[string]bool
	// late counts the late writes. writes counts the transactions since arm was called.
	late, writes int
}

func (l *lateWrites) arm(host string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.armed == nil {
		l.armed = make(map[string]bool)
	}
	l.armed[host], l.writes = true, 0
}

// takes reports whether the transaction is to be done late.
func (l *lateWrites) takes(content []byte) bool {
	var transaction struct {
		SetKeys []struct{ Table, Key string } `json:"setKeys"`
	}
	_ = json.Unmarshal(content, &transaction)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.writes++
	for _, row := range transaction.SetKeys {
		if row.Table == "hosts" && l.armed[row.Key] {
			delete(l.armed, row.Key)
			l.late++
			return true
		}
	}
	return false
}

// ServeHTTP passes calls to the store.
func (l *lateWrites) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/rows-tx" {
		l.inner.ServeHTTP(w, r)
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(content))
	if !l.takes(content) {
		l.inner.ServeHTTP(w, r)
		return
	}
	l.environment.note("store: a registration gets no answer and is done %s later: %s", lateWriteDelay, content)
	time.AfterFunc(lateWriteDelay, func() {
		l.inner.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/rows-tx", bytes.NewReader(content)))
		l.environment.note("store: the late registration is done")
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// playOrphanedZone kills all processes at once, as the final fault of a day, while the store
// loses the answer of one write. Of the requests sent later than recoverS after the processes
// are back at least a quarter has to be served.
func playOrphanedZone(e *environment) (verdict, error) {
	late := &lateWrites{environment: e}
	s, err := e.newStore(func(inner http.Handler) http.Handler {
		late.inner = inner
		return late
	})
	if err != nil {
		return verdict{}, err
	}
	s.writeDesiredState(route{name: "kurs-chat", kind: "streaming", service: engineService, priority: 1, attempts: 2, resumable: true, timeoutMs: 12000, targetMs: 600})
	zones := []string{"muc-a"}
	if os.Getenv("ZONES") == "3" {
		zones = []string{"muc-a", "muc-b", "fra-a"}
	}
	for i := range 3 {
		g := &engine{id: fmt.Sprintf("i-%d", i+1), zone: zones[i%len(zones)], eventGap: 5 * time.Millisecond, events: 10, held: map[string]bool{}, loadTime: 250 * time.Millisecond}
		if err := e.addEngine(s, g); err != nil {
			return verdict{}, err
		}
	}
	for i := range 3 {
		if _, err := e.addHost(fmt.Sprintf("front-%d", i+1), zones[i%len(zones)], s.address); err != nil {
			return verdict{}, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(10 * time.Second)
	sentBefore, servedBefore := e.requestAdapters("before", measureTime)
	for _, zone := range zones {
		owner := s.ownerOf(zone, e.hosts)
		if owner == nil {
			return verdict{}, errors.New("no host is registered as the owner of zone " + zone)
		}
		if e.trouble {
			late.arm(owner.name)
		}
		e.note("%s is registered as the owner of zone %s", owner.name, zone)
	}
	e.note("final fault: all processes are killed")
	for _, h := range e.hosts {
		h.kill()
	}
	time.Sleep(downTime)
	for _, h := range e.hosts {
		if err := h.start(); err != nil {
			return verdict{}, err
		}
	}
	e.note("all processes are started again")
	time.Sleep(recoverTime + time.Second)
	for _, zone := range zones {
		if now := s.ownerOf(zone, e.hosts); now == nil {
			e.note("no host is registered as the owner of zone %s", zone)
		} else {
			e.note("%s is registered as the owner of zone %s", now.name, zone)
		}
	}
	late.mutex.Lock()
	e.note("writes since the fault: %d, late ones: %d", late.writes, late.late)
	late.mutex.Unlock()
	sentAfter, servedAfter := e.requestAdapters("after", measureTime)
	return verdict{broken: 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter,
		text: fmt.Sprintf("served before the final fault: %d of %d; later than recoverS after it: %d of %d", servedBefore, sentBefore, servedAfter, sentAfter)}, nil
}

// requestAdapters sends requests for random adapters to all hosts in turn. A client repeats a
// refused request once, at another host. It returns the numbers of requests and of those that
// were served.
func (e *environment) requestAdapters(name string, duration time.Duration) (sent, served int) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(requestGap) {
		number := sent
		sent++
		adapter := rand.IntN(adapterCount)
		group.Go(func() {
			for try := range 2 {
				a := e.send(e.hosts[(number+try)%len(e.hosts)], fmt.Sprintf("%s-%d-%d", name, number, try), "POST", "/kurs-chat/1", 6*time.Second, map[string]string{
					"X-Model": fmt.Sprintf("%s/a%d", modelName, adapter), "X-Token-Counts": "826,60", "X-Prompt-Prefix": fmt.Sprintf("aa:198,%x:628", number),
				})
				if a.status == http.StatusOK && a.err == nil {
					mutex.Lock()
					served++
					mutex.Unlock()
					return
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return sent, served
}

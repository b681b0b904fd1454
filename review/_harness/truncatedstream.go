package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["truncated-stream"] = playTruncatedStream }

const (
	// streamEvents is the number of events of a stream.
	streamEvents = 49
	// spoiledEach is the number of answers of a faulty engine of which one is truncated: a
	// share of 0.02.
	spoiledEach = 50
	// streamPause is the time between two streams of one client, and streamClients the
	// number of clients.
	streamPause   = 500 * time.Millisecond
	streamClients = 10
	// streamTime is how long streams are begun.
	streamTime = 50 * time.Second
)

// playTruncatedStream lets half of the engines truncate one answer in fifty inside an event.
// The bytes sent are framed properly. No stream that lacks events may reach its client with
// the end of a complete answer.
func playTruncatedStream(e *environment) (verdict, error) {
	s, err := e.newStore(nil)
	if err != nil {
		return verdict{}, err
	}
	s.writeDesiredState(
		route{name: "kurs-chat", kind: "streaming", service: engineService, priority: 1, attempts: 2, resumable: true, timeoutMs: 12000, targetMs: 600},
		route{name: "berater-chat", kind: "streaming", service: engineService, priority: 0, attempts: 1, timeoutMs: 20000, targetMs: 1000},
	)
	zones := []string{"muc-a", "muc-b", "fra-a"}
	for i := range 6 {
		g := &engine{id: fmt.Sprintf("i-%d", i+1), zone: zones[i%3], eventGap: 10 * time.Millisecond, events: streamEvents, held: map[string]bool{"a1": true, "a2": true}}
		if e.trouble && i < 3 {
			g.spoil = func(number int) int {
				if number%spoiledEach == 10 {
					return 20
				}
				return 0
			}
		}
		if err := e.addEngine(s, g); err != nil {
			return verdict{}, err
		}
	}
	for i := range 3 {
		if _, err := e.addHost(fmt.Sprintf("front-%d", i+1), zones[i], s.address); err != nil {
			return verdict{}, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	var mutex sync.Mutex
	sent, whole, cut := 0, 0, 0
	var joined []string
	var group sync.WaitGroup
	end := time.Now().Add(streamTime)
	for c := range streamClients {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				path := []string{"/kurs-chat/1", "/berater-chat/1"}[n%2]
				attempt := fmt.Sprintf("stream-%d-%d", c, n)
				a := e.send(e.hosts[(c+n)%3], attempt, "POST", path, 12*time.Second, map[string]string{
					"X-Model": modelName + "/a" + fmt.Sprint(1+n%2), "X-Token-Counts": "826,294", "X-Prompt-Prefix": fmt.Sprintf("aa:198,%x:628", c*1000+n),
				})
				var expected strings.Builder
				for number := 1; number <= streamEvents; number++ {
					expected.WriteString(eventText(attempt, number))
				}
				mutex.Lock()
				sent++
				switch {
				case a.status != 200 || a.err != nil:
					cut++
				case a.body == expected.String():
					whole++
				default:
					joined = append(joined, attempt)
					e.note("%s (%s) reached its client as complete with %d of %d bytes; it ends with %q", attempt, path, len(a.body), expected.Len(), a.body[max(len(a.body)-30, 0):])
				}
				mutex.Unlock()
				time.Sleep(streamPause)
			}
		})
	}
	group.Wait()
	return verdict{broken: len(joined) > 0, text: fmt.Sprintf("%d streams sent, %d whole, %d not answered or shown as broken off, %d shown as complete without all their events", sent, whole, cut, len(joined))}, nil
}

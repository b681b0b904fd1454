package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engineService returns the service of engines of the desired state, with the sizes of a small site.
func engineService() map[string]any {
	return map[string]any{"name": "writers", "healthPath": "/healthz", "maxConns": 370, "engine": map[string]any{
		"slots": 64, "kvCacheTokens": 157037, "weightsMb": 76000, "adapterSlots": 26, "loadsPerS": 3.1,
		"models": []any{map[string]any{"name": "m0", "weightsMb": 72700, "loadTimeS": 2.1, "adapters": 3000, "adapterMb": 60}},
	}}
}

// ownPart returns the last part of the prompt of a request, which no other request has.
func ownPart(i int) string { return fmt.Sprintf("%08x", 0xabc00000+i) }

// A tally counts the requests of one kind.
type tally struct{ asked, served int }

// ask sends a request of a route and returns its status and whether the whole answer came.
func (w *world) ask(address, method, path, id, model, tokens, parts string, wait time.Duration) (status int, whole bool) {
	r, err := http.NewRequest(method, "http://"+address+path, nil)
	must(err)
	r.Host = callHost
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if model != "" {
		r.Header.Set("X-Model", model)
		r.Header.Set("X-Token-Counts", tokens)
		r.Header.Set("X-Prompt-Prefix", parts)
	}
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		w.note("%s %s to %s: %v", id, path, address, err)
		return 0, false
	}
	defer answer.Body.Close() //nolint:errcheck // It was read.
	body, err := io.ReadAll(answer.Body)
	w.note("%s %s to %s: status %d, %d bytes, retry after %q, error %v", id, path, address, answer.StatusCode, len(body), answer.Header.Get("Retry-After"), err)
	return answer.StatusCode, err == nil
}

// load sends ordinary requests for a time, in turn to all hosts: ten streams and five look-ups a
// second.
func (w *world) load(phase string, hosts []*host, length time.Duration) (chats, reads tally) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		group.Go(func() {
			status, whole := w.ask(hosts[i%len(hosts)].callers, http.MethodPost, "/chat/x", fmt.Sprintf("%s-chat%d", phase, i), "m0", "826,60", "5c1e07a2:198,"+ownPart(i)+":628", 6*time.Second)
			mutex.Lock()
			defer mutex.Unlock()
			chats.asked++
			if status == http.StatusOK && whole {
				chats.served++
			}
		})
		if i%2 == 0 {
			group.Go(func() {
				status, whole := w.ask(hosts[i%len(hosts)].callers, http.MethodGet, "/read/x", fmt.Sprintf("%s-read%d", phase, i), "", "", "", 3*time.Second)
				mutex.Lock()
				defer mutex.Unlock()
				reads.asked++
				if status == http.StatusOK && whole {
					reads.served++
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	w.say("%s: %d of %d streams and %d of %d look-ups served", phase, chats.served, chats.asked, reads.served, reads.asked)
	return chats, reads
}

// longTokens is the length of a prompt that is longer than the memory of an engine, 157,037 tokens.
const longTokens = "1000000"

// longPrompt sends one request whose prompt is longer than the memory of an engine.
func longPrompt(w *world) bool {
	w.startStore()
	w.writeDesired(3, []any{route("chat", "streaming", "writers", 2, 12000, false), route("read", "safe", "ledger", 2, 3000, false)},
		[]any{engineService(), map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConns": 110}})
	var hosts []*host
	for i, zone := range []string{"muc-a", "muc-b", "fra-a"} {
		w.addEngine(fmt.Sprintf("engine-%d", i), zone)
		w.addService(fmt.Sprintf("ledger-%d", i), "ledger", zone, "--slots", "6", "--work", "30ms")
		hosts = append(hosts, w.addHost(fmt.Sprintf("host-%d", i), zone, w.store, 4100))
	}
	for _, h := range hosts {
		await(h.name+" is ready", h.isReady)
	}
	time.Sleep(6 * time.Second) // The owners of the zones give their first turns.
	if chats, _ := w.load("before", hosts, 8*time.Second); chats.served*10 < chats.asked*9 {
		panic(cannotRun{"the streams were not served before"})
	}
	if w.hasTrouble {
		w.ask(hosts[0].callers, http.MethodPost, "/chat/x", "long", "m0", longTokens+",60", "5c1e07a2:198,"+ownPart(-1)+":999802", 12*time.Second)
	}
	chats, reads := w.load("after", hosts, 30*time.Second)
	all := float64(chats.served+reads.served) / float64(chats.asked+reads.asked)
	share := float64(chats.served) / float64(chats.asked)
	w.say("streams: %.2f served, all requests: %.2f", share, all)
	w.copyRecords()
	return share >= all/4
}

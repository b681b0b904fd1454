package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["removed-server"] = playRemovedServer }

const (
	// bookingTime is how long a server runs a booking.
	bookingTime = 200 * time.Millisecond
	// exitDelay is how long after the removal of its entry a server exits: drainMs and a
	// little longer.
	exitDelay = drainTime + time.Second
	// burstDelay is when after a removal the next bookings come.
	burstDelay = exitDelay - 100*time.Millisecond
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// removalDelay is when after the kill the entry of a server is removed.
	removalDelay = 400 * time.Millisecond
	// roundTime is the time between two replacements of the release.
	roundTime = 12 * time.Second
	// rounds is the number of servers that are replaced.
	rounds = 4
)

// playRemovedServer replaces the servers of a service one after the other. They do not
// report that they drain: their entries are removed, and they serve for drainMs and a little
// longer. At each replacement the process of a host that owns a zone is killed and started
// again. The bookings go to the other hosts. None may reach a server later than drainMs after
// the removal of its entry.
func playRemovedServer(e *environment) (verdict, error) {
	s, err := e.newStore(nil)
	if err != nil {
		return verdict{}, err
	}
	s.writeDesiredState(route{name: "einschreibung", kind: "unsafe", service: plainService, priority: 2, attempts: 1, timeoutMs: 1500, targetMs: 200})
	zones := []string{"muc-a", "muc-b", "fra-a"}
	var servers []*plainServer
	add := func(zone string) error {
		p, err := e.addPlainServer(s, fmt.Sprintf("i-%d", len(servers)+1), zone, bookingTime)
		servers = append(servers, p)
		return err
	}
	for _, zone := range zones {
		if err := add(zone); err != nil {
			return verdict{}, err
		}
	}
	for i := range 6 {
		if _, err := e.addHost(fmt.Sprintf("front-%d", i+1), zones[i%3], s.address); err != nil {
			return verdict{}, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second)
	var late, lost []string
	number := 0
	for i := range rounds {
		began := time.Now()
		if err := add(zones[i%3]); err != nil {
			return verdict{}, err
		}
		time.Sleep(2 * time.Second)
		killed := s.ownerOf(zones[i%3], e.hosts)
		if killed == nil {
			return verdict{}, errors.New("no host is registered as the owner of the zone")
		}
		if e.trouble {
			e.note("disruption: the process of %s, which owns zone %s, is killed", killed.name, killed.zone)
			killed.kill()
			time.AfterFunc(restartDelay, func() {
				e.note("%s is started again", killed.name)
				_ = killed.start()
			})
		}
		time.Sleep(removalDelay)
		leaver := servers[i]
		s.set("servers", leaver.id, nil)
		removed := time.Now()
		leaver.leaving.Store(true)
		time.AfterFunc(exitDelay, leaver.exit)
		time.Sleep(burstDelay)
		var group sync.WaitGroup
		var mutex sync.Mutex
		for _, h := range e.hosts {
			if h == killed {
				continue
			}
			for range 4 {
				number++
				attempt := fmt.Sprintf("booking-%d", number)
				group.Go(func() {
					a := e.send(h, attempt, "POST", "/einschreibung/1", 3*time.Second, nil)
					if a.status != 200 || a.err != nil {
						mutex.Lock()
						lost = append(lost, attempt)
						mutex.Unlock()
					}
				})
			}
		}
		group.Wait()
		reached := leaver.arrivedAfter(removed.Add(drainTime))
		e.note("requests that reached %s later than drainMs after its removal: %v", leaver.id, reached)
		late = append(late, reached...)
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	return verdict{broken: len(late) > 0, text: fmt.Sprintf("%d bookings reached a server later than drainMs after its entry was removed; %d bookings were not answered with success", len(late), len(lost))}, nil
}

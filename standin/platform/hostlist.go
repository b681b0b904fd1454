package platform

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A HostList is the platform's list of live and leaving hosts. Readers see each change
// only after its lag. It is safe for concurrent use.
type HostList struct {
	mutex       sync.Mutex
	lag         time.Duration
	unavailable bool
	hosts       map[string]fleet.ListedHost
	snapshots   []listSnapshot
}

// A listSnapshot is the host list, sorted by name, as it was from a time until the next
// snapshot.
type listSnapshot struct {
	from  time.Time
	hosts []fleet.ListedHost
}

// NewHostList returns an empty list whose readers see changes after lag.
func NewHostList(lag time.Duration) *HostList {
	return &HostList{lag: lag, hosts: make(map[string]fleet.ListedHost)}
}

// Set adds or replaces a host.
func (l *HostList) Set(host fleet.ListedHost) {
	l.change(func() { l.hosts[host.Name] = host })
}

// MarkLeaving marks a listed host as leaving. It has no effect on other hosts.
func (l *HostList) MarkLeaving(name string) {
	l.change(func() {
		if host, ok := l.hosts[name]; ok {
			host.State = fleet.HostLeaving
			l.hosts[name] = host
		}
	})
}

// Remove removes a host from the list, if it is there.
func (l *HostList) Remove(name string) {
	l.change(func() { delete(l.hosts, name) })
}

// SetUnavailable sets whether Hosts fails.
func (l *HostList) SetUnavailable(unavailable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unavailable = unavailable
}

// Hosts returns the list with all changes that are older than the lag, sorted by name. It
// returns ErrStoreUnavailable while the list is unavailable.
func (l *HostList) Hosts() ([]fleet.ListedHost, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unavailable {
		return nil, ErrStoreUnavailable
	}
	old := time.Now().Add(-l.lag)
	for len(l.snapshots) > 1 && !l.snapshots[1].from.After(old) {
		l.snapshots = l.snapshots[1:]
	}
	if len(l.snapshots) == 0 || l.snapshots[0].from.After(old) {
		return []fleet.ListedHost{}, nil
	}
	return append([]fleet.ListedHost{}, l.snapshots[0].hosts...), nil
}

// change applies a change to the hosts and adds a snapshot of the result.
func (l *HostList) change(apply func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	apply()
	hosts := make([]fleet.ListedHost, 0, len(l.hosts))
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		hosts = append(hosts, l.hosts[name])
	}
	l.snapshots = append(l.snapshots, listSnapshot{from: time.Now(), hosts: hosts})
}
